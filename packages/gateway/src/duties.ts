import type { Clock, Random } from '@zinniagrade/clock';
import type { Call } from './call.js';
import type { ClusterState } from './cluster-state.js';
import { recordActs, usageSubject } from './duty-acts.js';
import { DutyHolder, type DutyClient } from './duty-holder.js';
import { DutyMetrics } from './duty-metrics.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { NodePeers } from './node-peers.js';
import type { Platform } from './platform.js';
import { ScalingMetrics } from './scaling-metrics.js';
import type { StoreMirror } from './store-mirror.js';
import { UpstreamOrders } from './upstream-orders.js';
import { UsageCounts, usageTopic } from './usage-counts.js';
import { UsageReports } from './usage-reports.js';

/** Parts of the process that duties need. */
export interface DutiesOptions {
  readonly cluster: ClusterState;
  readonly peers: NodePeers;
  readonly mirror: StoreMirror;
  readonly metrics: Metrics;
  readonly isLeaving: () => boolean;
  /** Tokens of generations of a service that wait at all nodes; undefined if nodes don't tell. */
  readonly waitingTokens?: (service: string) => number | undefined;
  /** Share of the memory of this many engines that new streams leave free. */
  readonly reserveShare: (service: string, engineCount: number) => number;
}

/** Calls to the platform that one node makes for all. */
export interface Duties {
  readonly holder: DutyHolder;
  readonly client: DutyClient;
  /** To be called when an upstream has begun to run a request. */
  readonly countBegun: (call: Call) => void;
  /** Stops acting and lets other nodes take the subjects over. */
  readonly handOver: () => Promise<void>;
  /** Shares the last counts and stops; resolves when they are sent. */
  readonly stop: () => Promise<void>;
}

/** Nodes of earlier versions lack this topic; it has no rows. */
const holdersTopic = 'duties';
/** Interval at which a node looks whether it is linked with enough others to report for them. */
const linkCheckMs = 2000;
/** Below this share of the registered nodes, others know more counts than this one. */
const minLinkedShare = 0.5;
/** Time in which shared rows leave this node. */
const lastShareMs = 60;

interface UsageDuty {
  readonly countBegun: (call: Call) => void;
  readonly stopReports: () => void;
  readonly stopCounts: () => void;
}

const createUsageDuty = (
  platform: Platform,
  clock: Clock,
  random: Random,
  log: Log,
  { cluster, peers }: DutiesOptions,
  holder: DutyHolder,
  client: DutyClient,
): UsageDuty | undefined => {
  const { node, duties } = platform.settings;
  const { duties: keys } = platform;
  if (duties?.kinds.has('usage') !== true || keys === undefined) {
    return undefined;
  }
  const { usageWindowMs: windowMs, usageLateMs: lateMs } = duties;
  if (windowMs === undefined || lateMs === undefined) {
    log.event('duty inactive', { duty: 'usage', reason: 'settings lack its bounds' });
    return undefined;
  }
  const counts = UsageCounts.create(clock, random, {
    node,
    incarnation: clock.wallMs(),
    windowMs,
    lateMs,
    nodeCount: () => cluster.nodes.size,
    openTopic: peers.openTopic,
  });
  const reports = UsageReports.create(platform.store, clock, log, cluster, holder, {
    windowMs,
    lateMs,
    client,
    counts,
    holderKey: keys.holderKey(usageSubject),
    reportKey: keys.usageReportKey,
    encode: keys.encodeUsageReport,
    decode: platform.decodeChange,
    isCountedByAll: () => peers.isSharedByAll(usageTopic),
  });
  let isOffered = false;
  const offerWhenLinked = (): void => {
    const others = cluster.nodes.size - (cluster.nodes.has(node) ? 1 : 0);
    const isLinked = peers.aliveNodes().size >= others * minLinkedShare;
    if (isLinked !== isOffered) {
      isOffered = isLinked;
      (isLinked ? holder.offer : holder.withdraw)(usageSubject);
    }
  };
  offerWhenLinked();
  const stopLinkChecks = clock.every(linkCheckMs, offerWhenLinked);
  return {
    countBegun: counts.countBegun,
    stopReports: () => {
      stopLinkChecks();
      reports.stop();
    },
    stopCounts: counts.stop,
  };
};

const createScaleDuty = (
  { settings: { node, duties } }: Platform,
  clock: Clock,
  log: Log,
  { cluster, peers, metrics, reserveShare, waitingTokens = () => undefined }: DutiesOptions,
  holder: DutyHolder,
  client: DutyClient,
): UpstreamOrders | undefined => {
  if (duties?.kinds.has('scale') !== true) {
    return undefined;
  }
  const maxCallsPerSecond = duties.callsPerSecond;
  if (maxCallsPerSecond === undefined) {
    log.event('duty inactive', { duty: 'scale', reason: 'settings lack its limit on calls' });
    return undefined;
  }
  const scalingMetrics = ScalingMetrics.create(metrics.registry);
  const options = {
    ...{ node, holder, client, peers, maxCallsPerSecond },
    ...{ waitingTokens, reserveShare },
  };
  return UpstreamOrders.create(clock, log, scalingMetrics, cluster, options);
};

export const Duties = {
  /** Undefined if the settings ask for no duty. */
  create: (
    platform: Platform,
    clock: Clock,
    random: Random,
    log: Log,
    options: DutiesOptions,
  ): Duties | undefined => {
    const { settings, duties: keys } = platform;
    if (settings.duties === undefined || keys === undefined) {
      return undefined;
    }
    const { cluster, peers, mirror } = options;
    const metrics = DutyMetrics.create(clock, options.metrics.registry);
    peers.openTopic({ name: holdersTopic, receive: () => true, snapshot: () => [] });
    const holder = DutyHolder.create(platform.store, clock, log, metrics, cluster, {
      node: settings.node,
      incarnation: String(clock.wallMs()),
      leaseMs: settings.duties.leaseMs,
      keyOf: keys.holderKey,
      encode: keys.encodeHolder,
      decode: platform.decodeChange,
      rankOf: (subject) =>
        options.isLeaving() || mirror.storeAccess() === 'lost'
          ? undefined
          : peers.rankFor(subject, holdersTopic),
      storeRevision: () => (mirror.isComplete() ? mirror.revision() : undefined),
    });
    holder.onChange((subject) => {
      if (holder.grantOf(subject) !== undefined) {
        keys.connect();
      }
    });
    const client = recordActs(keys.client, holder, log, metrics);
    const usage = createUsageDuty(platform, clock, random, log, options, holder, client);
    const orders = createScaleDuty(platform, clock, log, options, holder, client);
    return {
      holder,
      client,
      countBegun: (call) => {
        usage?.countBegun(call);
      },
      handOver: () => {
        usage?.stopReports();
        orders?.stop();
        return holder.shutDown();
      },
      stop: async () => {
        usage?.stopCounts();
        client.close();
        await new Promise<void>((resolve) => {
          clock.after(lastShareMs, resolve);
        });
      },
    };
  },
};
