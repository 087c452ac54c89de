import type { Clock, Random } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import {
  followsStore,
  ownUse,
  PeerUse,
  Topology,
  type EngineLoad,
  type TopologyNode,
  type RolloutReport,
  type Upstream,
  type UpstreamUse,
} from '@zinniagrade/serving';
import { ChangeRelay } from './change-relay.js';
import { DivergenceCheck } from './divergence-check.js';
import type { Log } from './log.js';
import { PeerBroadcast } from './peer-broadcast.js';
import { PeerTopics, type PeerTopic, type RowFields } from './peer-topics.js';
import { NodeLinks } from './node-links.js';
import type { KeyFinding } from './request-guard.js';
import type { LimitFinding } from './stated-limits.js';
import type { ChangeSet, NodeMessage } from './node-message.js';
import type { StoreMirror } from './store-mirror.js';
import type { NodeEntry, ClusterState } from './cluster-state.js';

export interface NodePeersOptions {
  readonly self: TopologyNode;
  /** Address for other nodes, as IP:PORT. */
  readonly address: string;
  readonly mirror: () => StoreMirror;
  /** Services of which this node reaches no upstream. */
  readonly cutOffServices: () => readonly string[];
  /** For how long this node knows that the store had no outage. */
  readonly storeAvailableForMs: () => number;
  /** Called when a neighbour states for how long it knows that the store had no outage. */
  readonly onStoreAvailable: (node: string, availableForMs: number) => void;
  /** Called with a load that another node has read, and the time of reading. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  /** Called when another node has announced its use of upstreams. */
  readonly onPeerUse: (node: string, uses: readonly UpstreamUse[]) => void;
  readonly onReport: (node: string, service: string, report: RolloutReport) => void;
  readonly onFinding: (finding: KeyFinding) => void;
  /** Findings on keys of requests for a node that has none yet. */
  readonly findings: () => readonly KeyFinding[];
  readonly onLimit: (finding: LimitFinding) => void;
  /** Limits of upstreams for a node that has none yet. */
  readonly limits: () => readonly LimitFinding[];
}

/**
 * State that nodes exchange directly: use of upstreams, engine loads, rollout reports and store
 * changes.
 */
export interface NodePeers {
  /** Opens links to other nodes, authenticated by the secret. */
  readonly open: (secret: string) => void;
  readonly onUseChanged: () => void;
  /** To be called when this node is cut off from other services than before. */
  readonly onReachChanged: () => void;
  /** Services that another node is cut off from; undefined if it doesn't tell. */
  readonly cutOffServicesOf: (node: string) => readonly string[] | undefined;
  readonly peerUse: (upstream: string) => UpstreamUse;
  /** Time until all nodes know of a change at one of them, without the delay of links. */
  readonly announcementDelayMs: () => number;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  readonly shareFinding: (finding: KeyFinding) => void;
  readonly shareLimit: (finding: LimitFinding) => void;
  /** Takes part in a topic; returns a function that shares a row of this node with all others. */
  readonly openTopic: (topic: PeerTopic) => (fields: RowFields) => void;
  /** Whether all nodes from which messages arrive take part in a topic. */
  readonly isSharedByAll: (topic: string) => boolean;
  /**
   * Delay before this node acts on an event that all nodes learn of at once, so that nodes act in
   * turn.
   */
  readonly turnDelayMs: () => number;
  /** Whether this node is responsible for reading the load of an upstream. */
  readonly readsLoadOf: (upstream: Upstream) => boolean;
  /** Whether this node acts for all others on something with this name. */
  readonly actsOn: (name: string) => boolean;
  /** How many nodes of a topic that reach the store precede this one for something with this name. */
  readonly rankFor: (name: string, topic: string) => number;
  /** Whether this node watches the store itself; otherwise it gets changes from nodes that do. */
  readonly watchesStore: () => boolean;
  /** Requests store changes from the connected nodes. */
  readonly requestChanges: () => void;
  /** Sends store changes to connected nodes. */
  readonly pushChanges: (changes: ChangeSet) => void;
  /** Other nodes that messages arrive from, directly or via relays. */
  readonly aliveNodes: () => ReadonlySet<string>;
  readonly close: () => void;
}

/**
 * Number of turns; with more nodes than turns, few nodes of one turn have streams at the same
 * engine.
 */
const turnCount = 8;
/** Time within which a node's announcement reaches the others. */
const turnLengthMs = 9;
const openRetryDelayMs = 300;
/** Changes within this time are sent together. */
const batchDelayMs = 4;
/**
 * Relays wait longer, in proportion to the nodes whose changes they forward: otherwise the messages
 * that each node has to read would grow with the number of nodes.
 */
const relayBatchDelayMsPerNode = 0.5;
const minRelayBatchDelayMs = 20;
const maxRelayBatchDelayMs = 100;
/** Between nodes of different data centres. */
const relaysOnPath = 2;
/** Heartbeats also show the other nodes that this one is alive. */
const heartbeatIntervalMs = 500;

const toPlace = ({ node, dataCentre, capacity }: NodeEntry): TopologyNode => ({
  node,
  dataCentre,
  capacity,
});

export const NodePeers = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    cluster: ClusterState,
    options: NodePeersOptions,
  ): NodePeers => {
    const { self } = options;
    const peerUse = PeerUse.create();
    let knownTopology: Topology | undefined = Topology.create(self, []);
    let links: NodeLinks | undefined;
    let opening = false;
    let closed = false;
    let flushScheduled = false;

    const otherEntries = function* () {
      for (const entry of cluster.nodes.values()) {
        if (entry.node !== self.node) {
          yield entry;
        }
      }
    };

    cluster.onChange((change) => {
      if (change.kind === 'node') {
        knownTopology = undefined;
      }
    });

    const createTopology = (): Topology => {
      const staying = [...otherEntries()].filter(({ leaving }) => !leaving);
      return Topology.create(self, staying.map(toPlace));
    };
    /** The topology of the registered nodes; computed only after these have changed. */
    const topology = (): Topology => (knownTopology ??= createTopology());

    const ownUses = (): readonly UpstreamUse[] => {
      const uses: UpstreamUse[] = [];
      for (const member of cluster.fleet.members.values()) {
        if (member.ownRuns.size > 0) {
          uses.push(ownUse(member));
        }
      }
      return uses;
    };

    const topics = PeerTopics.create(({ node, topic }) => {
      log.event('row of a topic is invalid', { of: node, topic });
    });

    const linkedNodes = (): readonly string[] => links?.connected() ?? [];
    const send = (nodes: readonly string[], message: NodeMessage): void => {
      links?.send(nodes, message);
    };

    const broadcast = PeerBroadcast.create({
      node: self.node,
      dataCentre: self.dataCentre,
      incarnation: Date.now(),
      nowMs: clock.monotonicMs,
      topology,
      linkedNodes,
      send,
      ownUses,
      cutOffServices: options.cutOffServices,
      storeAccess: () => options.mirror().storeAccess(),
      revision: () => options.mirror().revision(),
      digest: () => options.mirror().digest(),
      storeAvailableForMs: options.storeAvailableForMs,
      onState: ({ node, uses }) => {
        peerUse.update(node, uses);
        options.onPeerUse(node, uses);
      },
      onLoad: options.onLoad,
      onReport: options.onReport,
      onFinding: options.onFinding,
      findings: options.findings,
      onLimit: options.onLimit,
      limits: options.limits,
      topics,
      onNodeLost: (node) => {
        peerUse.forget(node);
        topics.onNodeLost(node);
      },
    });

    const isRelay = (): boolean => !topology().isMesh && topology().relays.includes(self.node);
    const changeRelay = ChangeRelay.create(clock, random, log, {
      mirror: options.mirror,
      linkedNodes,
      send,
      isRelay,
    });

    const divergence = DivergenceCheck.create(clock, random, log, options.mirror);

    const relayBatchDelayMs = (): number =>
      Math.min(
        maxRelayBatchDelayMs,
        Math.max(minRelayBatchDelayMs, relayBatchDelayMsPerNode * cluster.nodes.size),
      );

    const scheduleFlush = (): void => {
      if (flushScheduled || !broadcast.hasPending()) {
        return;
      }
      flushScheduled = true;
      clock.after(isRelay() ? relayBatchDelayMs() : batchDelayMs, () => {
        flushScheduled = false;
        broadcast.flush();
      });
    };
    const stopHeartbeat = clock.every(heartbeatIntervalMs, broadcast.heartbeat);

    const onMessage = (node: string, message: NodeMessage): void => {
      switch (message.kind) {
        case 'state':
          broadcast.receive(node, message);
          if (message.storeAvailableForMs !== undefined) {
            options.onStoreAvailable(node, message.storeAvailableForMs);
          }
          changeRelay.pullIfBehind(node, message.revision);
          if (message.digest !== undefined) {
            divergence.compare({
              node,
              revision: message.revision,
              digest: message.digest,
              watchesStore: broadcast.states().get(node)?.store === 'watching',
            });
          }
          if (isRelay()) {
            scheduleFlush();
          }
          return;
        case 'pull':
          changeRelay.answerPull(node, message.after);
          return;
        case 'changes':
          changeRelay.receiveChanges(node, message);
      }
    };

    const open = async (secret: string): Promise<void> => {
      const created = await NodeLinks.create(clock, log, {
        node: self.node,
        address: options.address,
        secret,
        peers: function* () {
          for (const entry of otherEntries()) {
            if (topology().neighbours.has(entry.node)) {
              yield entry;
            }
          }
        },
        onMessage,
        onOpen: (node) => {
          broadcast.onLinkOpen(node);
          scheduleFlush();
        },
        onLost: (node) => {
          broadcast.onLinkLost(node);
          scheduleFlush();
        },
      });
      if (closed) {
        created.close();
        return;
      }
      links = created;
    };

    const shouldWatchStore = (): boolean => {
      const aliveNow = broadcast.aliveNodes();
      const states = broadcast.states();
      let watching = 0;
      for (const { node, store } of states.values()) {
        watching += store === 'watching' && aliveNow.has(node) ? 1 : 0;
      }
      return followsStore(topology(), self.node, {
        watching,
        canFollow: (node) => aliveNow.has(node) && states.get(node)?.store !== 'lost',
      });
    };

    /** The address may still be held by an earlier process of this node. */
    const openUntilDone = (secret: string): void => {
      open(secret).catch((error: unknown) => {
        log.event('failed to open node links', { reason: String(error) });
        clock.after(openRetryDelayMs, () => {
          if (!closed) {
            openUntilDone(secret);
          }
        });
      });
    };

    const onOwnStateChanged = (): void => {
      broadcast.markStateChanged();
      scheduleFlush();
    };

    return {
      open: (secret) => {
        if (!opening) {
          opening = true;
          openUntilDone(secret);
        }
      },
      onUseChanged: onOwnStateChanged,
      onReachChanged: onOwnStateChanged,
      cutOffServicesOf: (node) => broadcast.states().get(node)?.cutOff,
      peerUse: peerUse.totalFor,
      announcementDelayMs: () =>
        topology().isMesh ? batchDelayMs : batchDelayMs + relaysOnPath * relayBatchDelayMs(),
      shareLoad: (upstream, load) => {
        broadcast.shareLoad(upstream, load);
        scheduleFlush();
      },
      shareReport: (service, report) => {
        broadcast.shareReport(service, report);
        scheduleFlush();
      },
      shareFinding: (finding) => {
        broadcast.shareFinding(finding);
        scheduleFlush();
      },
      shareLimit: (finding) => {
        broadcast.shareLimit(finding);
        scheduleFlush();
      },
      openTopic: (topic) => {
        topics.open(topic);
        broadcast.markStateChanged();
        return (fields) => {
          broadcast.shareRow(topic.name, fields);
          scheduleFlush();
        };
      },
      isSharedByAll: (topic) => {
        const states = broadcast.states();
        for (const node of broadcast.aliveNodes()) {
          if (states.get(node)?.topics?.includes(topic) !== true) {
            return false;
          }
        }
        return true;
      },
      turnDelayMs: () => {
        let precedingNodes = 0;
        for (const node of broadcast.aliveNodes()) {
          precedingNodes += node < self.node ? 1 : 0;
        }
        return (precedingNodes % turnCount) * turnLengthMs;
      },
      readsLoadOf: ({ id, dataCentre, service }) => {
        const aliveNow = broadcast.aliveNodes();
        const isAlive = (node: string): boolean => node === self.node || aliveNow.has(node);
        const reaches = (node: string): boolean =>
          node === self.node
            ? !options.cutOffServices().includes(service)
            : broadcast.states().get(node)?.cutOff?.includes(service) !== true;
        const { relays, relaysOf } = topology();
        const readers = [relaysOf(dataCentre), relays]
          .map((nodes) => nodes.filter((node) => isAlive(node) && reaches(node)))
          .find((nodes) => nodes.length > 0);
        return readers !== undefined && chooseByRendezvous(id, readers)[0] === self.node;
      },
      actsOn: (name) =>
        chooseByRendezvous(name, [self.node, ...broadcast.aliveNodes()])[0] === self.node,
      rankFor: (name, topic) => {
        const states = broadcast.states();
        const others = [...broadcast.aliveNodes()].filter((node) => {
          const state = states.get(node);
          const isStaying = cluster.nodes.get(node)?.leaving !== true;
          return isStaying && state?.store !== 'lost' && state?.topics?.includes(topic) === true;
        });
        const nodes = [self.node, ...others];
        return chooseByRendezvous(name, nodes, nodes.length).indexOf(self.node);
      },
      watchesStore: shouldWatchStore,
      requestChanges: changeRelay.requestChanges,
      pushChanges: changeRelay.pushChanges,
      aliveNodes: broadcast.aliveNodes,
      close: () => {
        closed = true;
        stopHeartbeat();
        links?.close();
      },
    };
  },
};
