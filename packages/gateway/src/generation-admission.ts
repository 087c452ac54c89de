import type { Clock, Random } from '@zinniagrade/clock';
import type { UpstreamUse } from '@zinniagrade/serving';
import { AccountSharing } from './account-sharing.js';
import type { ClusterState } from './cluster-state.js';
import { DemandSharing } from './demand-sharing.js';
import { GenerationQueues } from './generation-queues.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { NodePeers } from './node-peers.js';

/** The queues of generations at this node, and what it shares with others of what waits. */
export interface GenerationAdmission {
  readonly queues: GenerationQueues;
  readonly demand: DemandSharing;
  /** To be called with the use of upstreams that another node announces. */
  readonly onPeerUse: (node: string, uses: readonly UpstreamUse[]) => void;
  readonly stop: () => void;
}

export const GenerationAdmission = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    metrics: Metrics,
    cluster: ClusterState,
    peers: NodePeers,
  ): GenerationAdmission => {
    const nodeCount = (): number => Math.max(1, cluster.nodes.size);
    const queues: GenerationQueues = GenerationQueues.create(
      clock,
      random,
      log,
      metrics,
      () => demand,
      () => accounts,
    );
    const accounts: AccountSharing = AccountSharing.create(clock, {
      peers,
      nodeCount,
      isWaitedFor: (service) =>
        queues.waitingFor(service)[Symbol.iterator]().next().done !== true ||
        demand.isWaitedFor(service),
    });
    const demand: DemandSharing = DemandSharing.create(clock, random, {
      peers,
      nodeCount,
      waitingHere: queues.waitingFor,
      onLess: queues.wake,
      serviceOf: (upstream) => cluster.fleet.members.get(upstream)?.upstream.service,
    });
    return {
      queues,
      demand,
      onPeerUse: (node, uses) => {
        demand.onPeerUse(node, uses);
        queues.wake();
      },
      stop: () => {
        queues.stop();
        demand.stop();
        accounts.stop();
      },
    };
  },
};
