import {
  expectedUse,
  type EngineLoad,
  type FleetMember,
  type Upstream,
} from '@zinniagrade/serving';
import type { ServingContext } from './call.js';

export interface LoadPollingOptions {
  /** Whether this node is responsible for reading the load of an upstream. */
  readonly readsLoadOf: (upstream: Upstream) => boolean;
  /** Sends a load to the other nodes. */
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly onLoad: (member: FleetMember) => void;
}

/**
 * Polls the load of engines. Each engine is polled by one node, which shares the result with the
 * others.
 */
export interface LoadPolling {
  /** Applies a load that another node has read. */
  readonly receiveLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly stop: () => void;
}

/** Engines' reports lag by about this time, so polling more often would yield little. */
const pollIntervalMs = 400;
/** A load that stays the same is sent to the other nodes again after this time. */
const unchangedShareIntervalMs = 5000;

/** A load that was sent to the other nodes. */
interface SentLoad {
  readonly load: EngineLoad;
  readonly atMs: number;
}

const isSameLoad = (a: EngineLoad, b: EngineLoad): boolean =>
  a.running === b.running &&
  a.waiting === b.waiting &&
  a.usedTokens === b.usedTokens &&
  a.totalTokens === b.totalTokens &&
  a.leaving === b.leaving;

export const LoadPolling = {
  create: (context: ServingContext, options: LoadPollingOptions): LoadPolling => {
    const { clock, log, cluster } = context;
    const pendingReads = new Set<string>();
    const sentLoads = new Map<string, SentLoad>();

    const apply = (member: FleetMember, load: EngineLoad, readAtMs: number): void => {
      if (readAtMs < member.engineLoadAtMs) {
        return;
      }
      member.engineLoad = load;
      member.engineLoadAtMs = readAtMs;
      if (load.leaving && !member.leaving) {
        cluster.fleet.markLeaving(member);
        log.event('upstream announced that it is leaving', {
          upstream: member.upstream.id,
          inMs: load.leavesInMs,
        });
      }
      options.onLoad(member);
    };

    const mustShare = (id: string, load: EngineLoad, nowMs: number): boolean => {
      const sent = sentLoads.get(id);
      return (
        sent === undefined ||
        nowMs - sent.atMs >= unchangedShareIntervalMs ||
        !isSameLoad(sent.load, load)
      );
    };

    const readLoad = async (member: FleetMember): Promise<void> => {
      const { id } = member.upstream;
      pendingReads.add(id);
      const requestedAtMs = clock.monotonicMs();
      const load = await context.client.readEngineLoad(member.upstream);
      pendingReads.delete(id);
      load.caseOf({
        Left: ({ detail }) => {
          log.decision('failed to read engine load', { upstream: id, reason: detail });
        },
        Right: (report) => {
          apply(member, report, requestedAtMs);
          if (!mustShare(id, report, requestedAtMs)) {
            return;
          }
          sentLoads.set(id, { load: report, atMs: requestedAtMs });
          log.decision('engine load', {
            upstream: id,
            running: report.running,
            waiting: report.waiting,
            usedTokens: report.usedTokens,
            totalTokens: report.totalTokens,
            expectedTokens: expectedUse(member, context.peerUse).memoryTokens,
            leaving: report.leaving,
          });
          options.shareLoad(id, report);
        },
      });
    };

    const forgetRemoved = (): void => {
      for (const id of sentLoads.keys()) {
        if (!cluster.fleet.members.has(id)) {
          sentLoads.delete(id);
        }
      }
    };

    const pollAll = (): void => {
      forgetRemoved();
      const configuration = cluster.configuration();
      for (const member of cluster.fleet.members.values()) {
        const { id, service } = member.upstream;
        const isEngine = configuration?.services.get(service)?.engine !== undefined;
        if (
          isEngine &&
          member.goneAtMs === undefined &&
          member.waitUntilMs <= clock.monotonicMs() &&
          !pendingReads.has(id) &&
          options.readsLoadOf(member.upstream)
        ) {
          readLoad(member).catch((error: unknown) => {
            log.event('load polling failed', { reason: String(error) });
          });
        }
      }
    };
    const stopPolling = clock.every(pollIntervalMs, pollAll);
    return {
      receiveLoad: (upstream, load, readAtMs) => {
        const member = cluster.fleet.members.get(upstream);
        if (member !== undefined) {
          apply(member, load, readAtMs);
        }
      },
      stop: stopPolling,
    };
  },
};
