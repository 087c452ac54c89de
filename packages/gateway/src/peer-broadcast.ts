import {
  type EngineLoad,
  type RolloutReport,
  type Topology,
  type UpstreamUse,
} from '@zinniagrade/serving';
import { AliveNodes } from './alive-nodes.js';
import type { KeyFinding } from './request-guard.js';
import type { LimitFinding } from './stated-limits.js';
import { createAudiences, type Audience } from './peer-audiences.js';
import type { PeerTopics, RowFields } from './peer-topics.js';
import type {
  NodeMessage,
  NodeState,
  SharedFinding,
  SharedUpdates,
  StoreAccess,
} from './node-message.js';
import { countUpdates, mergeUpdates, noUpdates, updatesFrom } from './shared-updates.js';

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
  /** Services of which this node reaches no upstream. */
  readonly cutOffServices: () => readonly string[];
  readonly storeAccess: () => StoreAccess;
  readonly revision: () => number;
  /** Digest of the store's entries that this node holds. */
  readonly digest: () => number;
  /** For how long this node knows that the store had no outage. */
  readonly storeAvailableForMs: () => number;
  /** Called with each newer state of another node. */
  readonly onState: (state: NodeState) => void;
  /** Called with a load that another node has read, and the time of reading. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly onReport: (node: string, service: string, report: RolloutReport) => void;
  readonly onFinding: (finding: KeyFinding) => void;
  /** Findings on keys of requests for a node that has none yet. */
  readonly findings: () => readonly KeyFinding[];
  readonly onLimit: (finding: LimitFinding) => void;
  /** Limits of upstreams for a node that has none yet. */
  readonly limits: () => readonly LimitFinding[];
  readonly topics: PeerTopics;
  /** Called for a node from which messages no longer arrive, directly or via a relay. */
  readonly onNodeLost: (node: string) => void;
}

/**
 * Distributes node states, engine loads and rollout reports, directly or via relays (see
 * `Topology`). A node that is sent to for the first time gets the complete state, and from then on
 * only what changes, so that a node at rest costs nothing but its heartbeats.
 */
export interface PeerBroadcast {
  /** To be called when this node's use of upstreams, or the services that it reaches, changed. */
  readonly markStateChanged: () => void;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  readonly shareFinding: (finding: KeyFinding) => void;
  readonly shareLimit: (finding: LimitFinding) => void;
  readonly shareRow: (topic: string, fields: RowFields) => void;
  readonly receive: (from: string, message: Extract<NodeMessage, { kind: 'state' }>) => void;
  readonly onLinkOpen: (node: string) => void;
  readonly onLinkLost: (node: string) => void;
  /** Sends all changes since the last flush. */
  readonly flush: () => void;
  /**
   * Shows all neighbours that this node is alive; relays also send the list of nodes that they
   * receive messages from, if it has changed.
   */
  readonly heartbeat: () => void;
  readonly hasPending: () => boolean;
  /** Other nodes from which messages arrive, directly or via a relay. */
  readonly aliveNodes: () => ReadonlySet<string>;
  readonly states: () => ReadonlyMap<string, NodeState>;
}

/**
 * A state is announced again after this time, in case one got lost between two relays that took over
 * from each other.
 */
const refreshIntervalMs = 5000;

export const PeerBroadcast = {
  create: (options: PeerBroadcastOptions): PeerBroadcast => {
    const states = new Map<string, NodeState>();
    const alive = AliveNodes.create(options.node, options.linkedNodes);
    const audiences = createAudiences({
      node: options.node,
      dataCentre: options.dataCentre,
      topology: options.topology,
      linkedNodes: options.linkedNodes,
      aliveNodes: alive.current,
    });
    const changedNodes = new Set<string>();
    /** Nodes that have been sent the complete state. */
    const synchronized = new Set<string>();
    /** Nodes that got a message since the last heartbeat. */
    const contacted = new Set<string>();
    /** The alive list that was last sent, by node. */
    const sentAliveLists = new Map<string, string>();
    /** Updates that are sent with the next flush. */
    let pending: SharedUpdates = noUpdates;
    let sequence = 0;
    let ownStateChanged = true;
    let linksChanged = true;
    let announcedAtMs = -Infinity;
    let announcedAccess: StoreAccess | undefined;

    const createOwnState = (): NodeState => {
      sequence += 1;
      announcedAtMs = options.nowMs();
      announcedAccess = options.storeAccess();
      return {
        node: options.node,
        incarnation: options.incarnation,
        sequence,
        store: announcedAccess,
        uses: options.ownUses(),
        cutOff: options.cutOffServices(),
        topics: options.topics.names(),
      };
    };

    const isOwn = (node: string): boolean => node === options.node;

    const sendState = (
      to: readonly string[],
      nodes: readonly NodeState[],
      updates: SharedUpdates,
      aliveList?: readonly string[],
    ): void => {
      for (const node of to) {
        contacted.add(node);
      }
      options.send(to, {
        kind: 'state',
        nodes,
        ...updates,
        ...(aliveList === undefined ? {} : { alive: aliveList }),
        revision: options.revision(),
        digest: options.digest(),
        storeAvailableForMs: Math.floor(options.storeAvailableForMs()),
      });
    };

    const announceOwnState = (): void => {
      if (ownStateChanged) {
        ownStateChanged = false;
        states.set(options.node, createOwnState());
        changedNodes.add(options.node);
      }
    };

    const statesOf = (nodes: Iterable<string>, wants: Audience['wants']): readonly NodeState[] => {
      const found: NodeState[] = [];
      for (const node of nodes) {
        const state = wants(node) ? states.get(node) : undefined;
        if (state !== undefined) {
          found.push(state);
        }
      }
      return found;
    };

    const ownFinding = (finding: KeyFinding): SharedFinding => ({
      ...finding,
      node: options.node,
    });

    /** Sends the complete state to nodes that were not sent to before. */
    const synchronize = ({ nodes, wants, aliveList }: Audience): void => {
      const added = nodes.filter((node) => !synchronized.has(node));
      if (added.length === 0) {
        return;
      }
      const list = aliveList();
      const updates = {
        ...noUpdates,
        findings: options.findings().map(ownFinding),
        limits: options.limits().map((limit) => ({ ...limit, node: options.node })),
        rows: options.topics.snapshot(options.node),
      };
      sendState(added, statesOf(states.keys(), wants), updates, list);
      for (const node of added) {
        synchronized.add(node);
        sentAliveLists.set(node, list?.join() ?? '');
      }
    };

    const send = (): void => {
      announceOwnState();
      const recipients = new Set<string>();
      for (const audience of audiences()) {
        const known = audience.nodes.filter((node) => synchronized.has(node));
        const changed = statesOf(changedNodes, audience.wants);
        const updates = updatesFrom(pending, audience.wants);
        if (changed.length + countUpdates(updates) > 0 && known.length > 0) {
          sendState(known, changed, updates);
        }
        synchronize(audience);
        for (const node of audience.nodes) {
          recipients.add(node);
        }
      }
      for (const node of synchronized) {
        if (!recipients.has(node)) {
          // Another relay is in use for it; if this one takes over again, it has missed changes.
          synchronized.delete(node);
        }
      }
      linksChanged = false;
      changedNodes.clear();
      pending = noUpdates;
    };

    /** Tells nodes which others are alive, if that has changed since they were told. */
    const sendAliveLists = (): void => {
      for (const { nodes, aliveList } of audiences()) {
        const list = aliveList();
        const text = list?.join() ?? '';
        const outdated = nodes.filter((node) => sentAliveLists.get(node) !== text);
        if (list !== undefined && outdated.length > 0) {
          sendState(outdated, [], noUpdates, list);
          for (const node of outdated) {
            sentAliveLists.set(node, text);
          }
        }
      }
    };

    const share = (updates: Partial<SharedUpdates>): void => {
      pending = mergeUpdates(pending, { ...noUpdates, ...updates });
    };

    const applyUpdates = ({ loads, reports, findings, limits, rows }: SharedUpdates): void => {
      for (const { upstream, load, ageMs } of loads) {
        options.onLoad(upstream, load, options.nowMs() - ageMs);
      }
      for (const { node, service, report } of reports) {
        options.onReport(node, service, report);
      }
      for (const finding of findings) {
        options.onFinding(finding);
      }
      for (const limit of limits) {
        options.onLimit(limit);
      }
      for (const row of rows) {
        options.topics.receive(row);
      }
    };

    const acceptState = (state: NodeState): void => {
      if (isOwn(state.node)) {
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
      const aliveNow = alive.current();
      for (const node of [...states.keys()]) {
        if (!isOwn(node) && !aliveNow.has(node)) {
          states.delete(node);
          changedNodes.delete(node);
          options.onNodeLost(node);
        }
      }
    };

    return {
      markStateChanged: () => {
        ownStateChanged = true;
      },
      shareLoad: (upstream, load) => {
        share({ loads: [{ node: options.node, upstream, ageMs: 0, load }] });
      },
      shareReport: (service, report) => {
        share({ reports: [{ node: options.node, service, report }] });
      },
      shareFinding: (finding) => {
        share({ findings: [ownFinding(finding)] });
      },
      shareLimit: (finding) => {
        share({ limits: [{ ...finding, node: options.node }] });
      },
      shareRow: (topic, fields) => {
        share({ rows: [{ node: options.node, topic, fields }] });
      },
      receive: (from, message) => {
        for (const state of message.nodes) {
          acceptState(state);
        }
        if (message.alive !== undefined) {
          alive.setListOf(from, message.alive);
          removeLostNodes();
        }
        const updates = updatesFrom(message, (node) => !isOwn(node));
        applyUpdates(updates);
        share(updates);
      },
      onLinkOpen: (node) => {
        alive.onLinkOpen();
        linksChanged = true;
        synchronized.delete(node);
      },
      onLinkLost: (node) => {
        alive.onLinkLost(node);
        linksChanged = true;
        synchronized.delete(node);
        sentAliveLists.delete(node);
        removeLostNodes();
      },
      flush: send,
      heartbeat: () => {
        ownStateChanged ||=
          options.nowMs() - announcedAtMs >= refreshIntervalMs ||
          options.storeAccess() !== announcedAccess;
        send();
        sendAliveLists();
        sendState(
          options.linkedNodes().filter((node) => !contacted.has(node)),
          [],
          noUpdates,
        );
        contacted.clear();
      },
      hasPending: () =>
        ownStateChanged || linksChanged || changedNodes.size > 0 || countUpdates(pending) > 0,
      aliveNodes: alive.current,
      states: () => states,
    };
  },
};
