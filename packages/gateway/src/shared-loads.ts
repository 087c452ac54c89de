import type { Clock } from '@zinniagrade/clock';
import {
  LoadSharing,
  recordServiceLoad,
  type Fleet,
  type FleetMember,
  type ServiceLoad,
  type UpstreamUse,
} from '@zinniagrade/serving';
import { z } from 'zod';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { PeerTopic, RowFields } from './peer-topics.js';

export interface SharedLoadsOptions {
  /** Registered nodes, this one included. */
  readonly nodeCount: () => number;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly openTopic: (topic: PeerTopic) => (fields: RowFields) => void;
}

/** Keeps the loads that plain upstreams state in their responses, to any node. */
export interface SharedLoads {
  /** To be called with the load in a response, while the request still counts as in flight. */
  readonly onStated: (member: FleetMember, load: ServiceLoad) => void;
  readonly stop: () => void;
}

const topicName = 'service-loads';
const sweepIntervalMs = 10_000;

/** Upstream, requests running and waiting, slots, pace or 0. Later versions may append fields. */
const rowSchema = z
  .tuple([
    z.string(),
    z.number().min(0),
    z.number().min(0),
    z.number().positive(),
    z.number().min(0),
  ])
  .rest(z.unknown());

export const SharedLoads = {
  create: (
    clock: Clock,
    log: Log,
    metrics: Pick<Metrics, 'countDecision'>,
    fleet: Fleet,
    options: SharedLoadsOptions,
  ): SharedLoads => {
    const sharing = LoadSharing.create();

    const shareRow = options.openTopic({
      name: topicName,
      receive: (_node, fields) => {
        const row = rowSchema.safeParse(fields);
        if (!row.success) {
          return false;
        }
        const [upstream, running, waiting, slots, pace] = row.data;
        const load = { running, waiting, slots, ...(pace === 0 ? {} : { pace }) };
        const member = fleet.members.get(upstream);
        if (member !== undefined) {
          const nowMs = clock.monotonicMs();
          recordServiceLoad(member, load, options.peerUse, nowMs);
          sharing.receive(upstream, load, nowMs);
        }
        return true;
      },
      // A load is worth nothing after a second, in which a node that joins reads some itself.
      snapshot: () => [],
    });

    const stop = clock.every(sweepIntervalMs, () => {
      sharing.forgetExcept((upstream) => fleet.members.has(upstream));
    });

    return {
      onStated: (member, load) => {
        const nowMs = clock.monotonicMs();
        recordServiceLoad(member, load, options.peerUse, nowMs);
        const { id } = member.upstream;
        if (sharing.take(id, load, options.nodeCount(), nowMs)) {
          const { running, waiting, slots, pace } = load;
          shareRow([id, running, waiting, slots, pace ?? 0]);
          metrics.countDecision('service-load-shared');
          log.decision('upstream load shared', { upstream: id, running, waiting, slots, pace });
        }
      },
      stop,
    };
  },
};
