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

/** What an exchange is told and what it calls. */
export interface ExchangeOptions {
  readonly node: string;
  readonly dataCentre: string;
  /** Start of this process, in Unix milliseconds. */
  readonly incarnation: number;
  readonly nowMs: () => number;
  readonly topology: () => Topology;
  /** Nodes with an open connection. */
  readonly linked: () => readonly string[];
  /** Sends one message to several nodes. */
  readonly send: (nodes: readonly string[], message: NodeMessage) => void;
  readonly ownUses: () => readonly UpstreamUse[];
  readonly storeAccess: () => StoreAccess;
  readonly revision: () => number;
  /** Called with what another node newly says of itself. */
  readonly onState: (state: NodeState) => void;
  /** Called with a load that another node has read, and when it was read. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly onReport: (node: string, service: string, report: RolloutReport) => void;
  /** Called for a node that isn't heard of any more, directly or through a relay. */
  readonly onGone: (node: string) => void;
}

/** Spreads what nodes say of themselves, directly or over relays, see `Topology`. */
export interface NodeExchange {
  readonly changed: () => void;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  readonly receive: (from: string, message: Extract<NodeMessage, { kind: 'state' }>) => void;
  readonly onLinkOpen: () => void;
  readonly onLinkLost: (node: string) => void;
  /** Sends what has changed since the last time. */
  readonly flush: () => void;
  /** Tells all neighbours that this node lives, and which nodes it hears from. */
  readonly heartbeat: () => void;
  readonly hasNews: () => boolean;
  /** Other nodes that are heard of, directly or through a relay. */
  readonly alive: () => ReadonlySet<string>;
  readonly statesOf: () => ReadonlyMap<string, NodeState>;
}

/** A relay's list of nodes counts for this long. */
const toldLifeMs = 1500;

interface Told {
  readonly nodes: readonly string[];
  readonly atMs: number;
}

/** News that is passed on once, with its origin. */
interface News {
  readonly loads: readonly SharedLoad[];
  readonly reports: readonly SharedReport[];
}

export const NodeExchange = {
  create: (options: ExchangeOptions): NodeExchange => {
    const states = new Map<string, NodeState>();
    const told = new Map<string, Told>();
    const dirty = new Set<string>();
    let loads: SharedLoad[] = [];
    let reports: SharedReport[] = [];
    let sequence = 0;
    let ownChanged = true;

    const isLinked = (node: string): boolean => options.linked().includes(node);

    /** The relay of a data centre that is in use, as seen from here. */
    const activeRelay = (dataCentre: string): string | undefined =>
      options
        .topology()
        .relaysOf(dataCentre)
        .find((relay) => relay === options.node || isLinked(relay));

    const alive = (): ReadonlySet<string> => {
      const nodes = new Set(options.linked());
      const oldestMs = options.nowMs() - toldLifeMs;
      for (const { nodes: others, atMs } of told.values()) {
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

    const isOfOwnDataCentre = (node: string): boolean =>
      node === options.node || options.topology().dataCentreOf(node) === options.dataCentre;

    const messageOf = (
      nodes: readonly NodeState[],
      news: News,
      aliveNodes?: readonly string[],
    ): NodeMessage => ({
      kind: 'state',
      nodes,
      ...news,
      ...(aliveNodes === undefined ? {} : { alive: aliveNodes }),
      revision: options.revision(),
    });

    const sendUnlessEmpty = (
      to: readonly string[],
      nodes: readonly NodeState[],
      news: News,
      aliveNodes?: readonly string[],
    ): void => {
      const size = nodes.length + news.loads.length + news.reports.length;
      if (to.length > 0 && (size > 0 || aliveNodes !== undefined)) {
        options.send(to, messageOf(nodes, news, aliveNodes));
      }
    };

    const ofOwnDataCentre = (news: News): News => ({
      loads: news.loads.filter(({ node }) => isOfOwnDataCentre(node)),
      reports: news.reports.filter(({ node }) => isOfOwnDataCentre(node)),
    });

    const ofThisNode = (news: News): News => ({
      loads: news.loads.filter(({ node }) => node === options.node),
      reports: news.reports.filter(({ node }) => node === options.node),
    });

    /** A relay passes on its own data centre's news to the other relays, and all news to its nodes. */
    const sendAsRelay = (changed: readonly NodeState[], news: News, withAlive: boolean): void => {
      const { dataCentres } = options.topology();
      const linked = options.linked();
      const near = linked.filter(isOfOwnDataCentre);
      const far: string[] = [];
      for (const dataCentre of dataCentres) {
        const relay = dataCentre === options.dataCentre ? undefined : activeRelay(dataCentre);
        if (relay !== undefined) {
          far.push(relay);
        }
      }
      sendUnlessEmpty(
        far,
        changed.filter(({ node }) => isOfOwnDataCentre(node)),
        ofOwnDataCentre(news),
        withAlive ? [options.node, ...near] : undefined,
      );
      sendUnlessEmpty(near, changed, news, withAlive ? [options.node, ...alive()] : undefined);
    };

    const takeNews = (): { readonly changed: readonly NodeState[]; readonly news: News } => {
      if (ownChanged) {
        ownChanged = false;
        states.set(options.node, ownState());
        dirty.add(options.node);
      }
      const changed: NodeState[] = [];
      for (const node of dirty) {
        const state = states.get(node);
        if (state !== undefined) {
          changed.push(state);
        }
      }
      const news = { loads, reports };
      dirty.clear();
      loads = [];
      reports = [];
      return { changed, news };
    };

    const send = (withAlive: boolean): void => {
      const { changed, news } = takeNews();
      const topology = options.topology();
      const relay = activeRelay(options.dataCentre);
      if (!topology.isMesh && relay === options.node) {
        sendAsRelay(changed, news, withAlive);
        return;
      }
      const to = topology.isMesh ? options.linked() : relay === undefined ? [] : [relay];
      const own = changed.filter(({ node }) => node === options.node);
      sendUnlessEmpty(to, own, ofThisNode(news));
    };

    const takeState = (state: NodeState): void => {
      if (state.node === options.node) {
        return;
      }
      const known = states.get(state.node);
      const isNewer = known?.incarnation !== state.incarnation || known.sequence < state.sequence;
      if (isNewer) {
        states.set(state.node, state);
        dirty.add(state.node);
        options.onState(state);
      }
    };

    const dropGone = (): void => {
      const heard = alive();
      for (const node of [...states.keys()]) {
        if (node !== options.node && !heard.has(node)) {
          states.delete(node);
          dirty.delete(node);
          options.onGone(node);
        }
      }
    };

    return {
      changed: () => {
        ownChanged = true;
      },
      shareLoad: (upstream, load) => {
        loads.push({ node: options.node, upstream, ageMs: 0, load });
      },
      shareReport: (service, report) => {
        reports.push({ node: options.node, service, report });
      },
      receive: (from, message) => {
        if (message.alive !== undefined) {
          told.set(from, { nodes: message.alive, atMs: options.nowMs() });
        }
        for (const state of message.nodes) {
          takeState(state);
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
        // The other end may be a relay that has taken over and knows nothing yet.
        ownChanged = true;
        for (const node of states.keys()) {
          dirty.add(node);
        }
      },
      onLinkLost: (node) => {
        told.delete(node);
        dropGone();
      },
      flush: () => {
        send(false);
      },
      heartbeat: () => {
        dropGone();
        ownChanged = true;
        send(true);
        const { isMesh } = options.topology();
        if (!isMesh) {
          // Also tells neighbours that get no other message that the link works.
          options.send(options.linked(), messageOf([], { loads: [], reports: [] }));
        }
      },
      hasNews: () => ownChanged || dirty.size > 0 || loads.length > 0 || reports.length > 0,
      alive,
      statesOf: () => states,
    };
  },
};
