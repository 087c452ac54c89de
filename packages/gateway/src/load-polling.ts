import { expectedUse, type EngineLoad, type FleetMember } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';

export interface LoadPollingOptions {
  /** Whether this node is the one that reads the load of an upstream. */
  readonly reads: (upstream: string, dataCentre: string) => boolean;
  /** Passes a load on to the other nodes. */
  readonly share: (upstream: string, load: EngineLoad) => void;
  readonly onLoad: (member: FleetMember) => void;
}

/** Reads the load of engines at an interval. Each engine is read by one node for all. */
export interface LoadPolling {
  /** Takes a load that another node has read. */
  readonly take: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly stop: () => void;
}

/** Reports lag by about as much, so that more frequent reading shows little more. */
const pollIntervalMs = 400;

export const LoadPolling = {
  create: (context: ServingContext, options: LoadPollingOptions): LoadPolling => {
    const { clock, log, view } = context;
    const asking = new Set<string>();

    const apply = (member: FleetMember, load: EngineLoad, readAtMs: number): void => {
      if (readAtMs < member.engineLoadAtMs) {
        return;
      }
      member.engineLoad = load;
      member.engineLoadAtMs = readAtMs;
      if (load.leaving && !member.leaving) {
        view.fleet.markLeaving(member);
        log.event('upstream says it is leaving', {
          upstream: member.upstream.id,
          inMs: load.leavesInMs,
        });
      }
      options.onLoad(member);
    };

    const ask = async (member: FleetMember): Promise<void> => {
      const { id } = member.upstream;
      asking.add(id);
      const askedAtMs = clock.monotonicMs();
      const load = await context.client.engineLoad(member.upstream);
      asking.delete(id);
      load.caseOf({
        Left: ({ detail }) => {
          log.decision('load not read', { upstream: id, reason: detail });
        },
        Right: (report) => {
          apply(member, report, askedAtMs);
          log.decision('engine load', {
            upstream: id,
            running: report.running,
            waiting: report.waiting,
            usedTokens: report.usedTokens,
            totalTokens: report.totalTokens,
            expectedTokens: expectedUse(member, context.peerUse).memoryTokens,
            leaving: report.leaving,
          });
          options.share(id, report);
        },
      });
    };

    const pollAll = (): void => {
      const configuration = view.configuration();
      for (const member of view.fleet.members.values()) {
        const { id, service, dataCentre } = member.upstream;
        const isEngine = configuration?.services.get(service)?.engine !== undefined;
        if (
          isEngine &&
          member.goneAtMs === undefined &&
          !asking.has(id) &&
          options.reads(id, dataCentre)
        ) {
          ask(member).catch((error: unknown) => {
            log.event('load polling failed', { reason: String(error) });
          });
        }
      }
    };
    const cancel = clock.every(pollIntervalMs, pollAll);
    return {
      take: (upstream, load, readAtMs) => {
        const member = view.fleet.members.get(upstream);
        if (member !== undefined) {
          apply(member, load, readAtMs);
        }
      },
      stop: cancel,
    };
  },
};
