import type { ServingContext } from './call.js';
import type { FleetMember } from '@zinniagrade/serving';

/** Reads the load of engines at an interval. */
export interface LoadPolling {
  readonly stop: () => void;
}

/** Reports lag by about as much, so that more frequent reading shows little more. */
const pollIntervalMs = 500;

export const LoadPolling = {
  create: (context: ServingContext, onLoad: (member: FleetMember) => void): LoadPolling => {
    const { clock, log, view } = context;
    const asking = new Set<string>();

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
          member.engineLoad = report;
          member.engineLoadAtMs = askedAtMs;
          if (report.leaving && !member.leaving) {
            member.leaving = true;
            log.event('upstream says it is leaving', { upstream: id, inMs: report.leavesInMs });
          }
          onLoad(member);
        },
      });
    };

    const pollAll = (): void => {
      const configuration = view.configuration();
      for (const member of view.fleet.members.values()) {
        const engine = configuration?.services.get(member.upstream.service)?.engine;
        if (engine !== undefined && member.goneAtMs === undefined && !asking.has(member.upstream.id)) {
          ask(member).catch((error: unknown) => {
            log.event('load polling failed', { reason: String(error) });
          });
        }
      }
    };
    const cancel = clock.every(pollIntervalMs, pollAll);
    return { stop: cancel };
  },
};
