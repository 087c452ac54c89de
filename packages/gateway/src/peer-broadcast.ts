import {
  type EngineLoad,
  type RolloutReport,
  type Topology,
  type UpstreamUse,
} from '@zinniagrade/serving';
import type {
  NodeMessage,
  NodeState,
  SharedLoad,
  SharedReport,
  StoreAccess,
} from './node-message.js';

/** State of this node and callbacks of a broadcast. */
export interface PeerBroadcastOptions {
  readonly node: string;
  readonly dataCentre: string;
  /** Start of this process, in Unix milliseconds. */
  readonly incarnation: number;
  readonly nowMs: () => number;
  readonly topology: () => Topology;
  /** Nodes with an open connection. */
  readonly linkedNodes: () => readonly string[];
  /** Sends one message to each of several nodes. */
  readonly send: (nodes: readonly string[], message: NodeMessage) => void;
  readonly ownUses: () => readonly UpstreamUse[];
  readonly storeAccess: () => StoreAccess;
  readonly revision: () => number;
  /** Called with each newer state of another node. */
  readonly onState: (state: NodeState) => void;
  /** Called with a load that another node has read, and the time of reading. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly onReport: (node: string, service: string, report: RolloutReport) => void;
  /** Called for a node from which messages no longer arrive, directly or via a relay. */
  readonly onNodeLost: (node: string) => void;
}

/**
 * Distributes node states, engine loads and rollout reports, directly or via relays (see
 * `Topology`).
 */
export interface PeerBroadcast {
  readonly markUsesChanged: () => void;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  readonly receive: (from: string, message: Extract<NodeMessage, { kind: 'state' }>) => void;
  readonly onLinkOpen: () => void;
  readonly onLinkLost: (node: string) => void;
  /** Sends all changes since the last flush. */
  readonly flush: () => void;
  /**
   * Shows all neighbours that this node is alive; relays also send the list of nodes that they
   * receive messages from.
   */
  readonly heartbeat: () => void;
  readonly hasPending: () => boolean;
  /** Other nodes from which messages arrive, directly or via a relay. */
  readonly aliveNodes: () => ReadonlySet<string>;
  readonly states: () => ReadonlyMap<string, NodeState>;
}

/** Time for which a relay's list of alive nodes is valid. */
const aliveListTtlMs = 1500;

interface AliveList {
  readonly nodes: readonly string[];
  readonly atMs: number;
}

/** Updates that are forwarded once, each with the node that it comes from. */
interface SharedUpdates {
  readonly loads: readonly SharedLoad[];
  readonly reports: readonly SharedReport[];
}

export const PeerBroadcast = {
  create: (options: PeerBroadcastOptions): PeerBroadcast => {
    const states = new Map<string, NodeState>();
    const aliveLists = new Map<string, AliveList>();
    const changedNodes = new Set<string>();
    let loads: SharedLoad[] = [];
    let reports: SharedReport[] = [];
    let sequence = 0;
    let ownStateChanged = true;

    const isLinked = (node: string): boolean => options.linkedNodes().includes(node);

    /** The first reachable relay of a data centre. */
    const activeRelay = (dataCentre: string): string | undefined =>
      options
        .topology()
        .relaysOf(dataCentre)
        .find((relay) => relay === options.node || isLinked(relay));

    const aliveNodes = (): ReadonlySet<string> => {
      const nodes = new Set(options.linkedNodes());
      const oldestMs = options.nowMs() - aliveListTtlMs;
      for (const { nodes: others, atMs } of aliveLists.values()) {
        if (atMs >= oldestMs) {
          for (const node of others) {
            nodes.add(node);
          }
        }
      }
      nodes.delete(options.node);
      return nodes;
    };

    const ownState = (): NodeState => {
      sequence += 1;
      return {
        node: options.node,
        incarnation: options.incarnation,
        sequence,
        store: options.storeAccess(),
        uses: options.ownUses(),
      };
    };

    const isInOwnDataCentre = (node: string): boolean =>
      node === options.node || options.topology().dataCentreOf(node) === options.dataCentre;

    const createStateMessage = (
      nodes: readonly NodeState[],
      updates: SharedUpdates,
      aliveList?: readonly string[],
    ): NodeMessage => ({
      kind: 'state',
      nodes,
      ...updates,
      ...(aliveList === undefined ? {} : { alive: aliveList }),
      revision: options.revision(),
    });

    const sendUnlessEmpty = (
      to: readonly string[],
      nodes: readonly NodeState[],
      updates: SharedUpdates,
      aliveList?: readonly string[],
    ): void => {
      const size = nodes.length + updates.loads.length + updates.reports.length;
      if (to.length > 0 && (size > 0 || aliveList !== undefined)) {
        options.send(to, createStateMessage(nodes, updates, aliveList));
      }
    };

    const fromOwnDataCentre = (updates: SharedUpdates): SharedUpdates => ({
      loads: updates.loads.filter(({ node }) => isInOwnDataCentre(node)),
      reports: updates.reports.filter(({ node }) => isInOwnDataCentre(node)),
    });

    const fromThisNode = (updates: SharedUpdates): SharedUpdates => ({
      loads: updates.loads.filter(({ node }) => node === options.node),
      reports: updates.reports.filter(({ node }) => node === options.node),
    });

    /**
     * A relay forwards updates of its own data centre to the other relays, and all updates to its
     * own nodes.
     */
    const sendAsRelay = (
      changed: readonly NodeState[],
      updates: SharedUpdates,
      includeAlive: boolean,
    ): void => {
      const { dataCentres } = options.topology();
      const linked = options.linkedNodes();
      const localNodes = linked.filter(isInOwnDataCentre);
      const remoteRelays: string[] = [];
      for (const dataCentre of dataCentres) {
        const relay = dataCentre === options.dataCentre ? undefined : activeRelay(dataCentre);
        if (relay !== undefined) {
          remoteRelays.push(relay);
        }
      }
      sendUnlessEmpty(
        remoteRelays,
        changed.filter(({ node }) => isInOwnDataCentre(node)),
        fromOwnDataCentre(updates),
        includeAlive ? [options.node, ...localNodes] : undefined,
      );
      sendUnlessEmpty(
        localNodes,
        changed,
        updates,
        includeAlive ? [options.node, ...aliveNodes()] : undefined,
      );
    };

    const takePending = (): {
      readonly changed: readonly NodeState[];
      readonly updates: SharedUpdates;
    } => {
      if (ownStateChanged) {
        ownStateChanged = false;
        states.set(options.node, ownState());
        changedNodes.add(options.node);
      }
      const changed: NodeState[] = [];
      for (const node of changedNodes) {
        const state = states.get(node);
        if (state !== undefined) {
          changed.push(state);
        }
      }
      const updates = { loads, reports };
      changedNodes.clear();
      loads = [];
      reports = [];
      return { changed, updates };
    };

    const send = (includeAlive: boolean): void => {
      const { changed, updates } = takePending();
      const topology = options.topology();
      const relay = activeRelay(options.dataCentre);
      if (!topology.isMesh && relay === options.node) {
        sendAsRelay(changed, updates, includeAlive);
        return;
      }
      const recipients = topology.isMesh
        ? options.linkedNodes()
        : relay === undefined
          ? []
          : [relay];
      const ownStates = changed.filter(({ node }) => node === options.node);
      sendUnlessEmpty(recipients, ownStates, fromThisNode(updates));
    };

    const acceptState = (state: NodeState): void => {
      if (state.node === options.node) {
        return;
      }
      const known = states.get(state.node);
      const isNewer = known?.incarnation !== state.incarnation || known.sequence < state.sequence;
      if (isNewer) {
        states.set(state.node, state);
        changedNodes.add(state.node);
        options.onState(state);
      }
    };

    const removeLostNodes = (): void => {
      const aliveNow = aliveNodes();
      for (const node of [...states.keys()]) {
        if (node !== options.node && !aliveNow.has(node)) {
          states.delete(node);
          changedNodes.delete(node);
          options.onNodeLost(node);
        }
      }
    };

    return {
      markUsesChanged: () => {
        ownStateChanged = true;
      },
      shareLoad: (upstream, load) => {
        loads.push({ node: options.node, upstream, ageMs: 0, load });
      },
      shareReport: (service, report) => {
        reports.push({ node: options.node, service, report });
      },
      receive: (from, message) => {
        if (message.alive !== undefined) {
          aliveLists.set(from, { nodes: message.alive, atMs: options.nowMs() });
        }
        for (const state of message.nodes) {
          acceptState(state);
        }
        for (const shared of message.loads) {
          if (shared.node !== options.node) {
            options.onLoad(shared.upstream, shared.load, options.nowMs() - shared.ageMs);
            loads.push(shared);
          }
        }
        for (const shared of message.reports) {
          if (shared.node !== options.node) {
            options.onReport(shared.node, shared.service, shared.report);
            reports.push(shared);
          }
        }
      },
      onLinkOpen: () => {
        // The peer may be a relay that has just become active and has no states yet, so send it all
        // of them.
        ownStateChanged = true;
        for (const node of states.keys()) {
          changedNodes.add(node);
        }
      },
      onLinkLost: (node) => {
        aliveLists.delete(node);
        removeLostNodes();
      },
      flush: () => {
        send(false);
      },
      heartbeat: () => {
        removeLostNodes();
        ownStateChanged = true;
        send(true);
        const { isMesh } = options.topology();
        if (!isMesh) {
          // Neighbours that get no other message would close the link when its timeout expires, so
          // send an empty one.
          options.send(options.linkedNodes(), createStateMessage([], { loads: [], reports: [] }));
        }
      },
      hasPending: () =>
        ownStateChanged || changedNodes.size > 0 || loads.length > 0 || reports.length > 0,
      aliveNodes,
      states: () => states,
    };
  },
};
