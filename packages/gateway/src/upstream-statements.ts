import type { Clock } from '@zinniagrade/clock';
import type { Fleet, FleetMember } from '@zinniagrade/serving';
import type { Call } from './call.js';
import type { Log } from './log.js';
import type { StatedLimits } from './stated-limits.js';
import type { ResponseHead } from './upstream-client.js';

/** Applies what upstreams state of themselves in their responses. */
export interface UpstreamStatements {
  /** To be called with the head of each response to a request that was sent at this time. */
  readonly onResponse: (member: FleetMember, head: ResponseHead, sentAtMs: number) => void;
  /**
   * Wait to ask a refused caller for: the time until one of the upstreams for its call takes
   * requests of this node again, but at least the minimum.
   */
  readonly retryAfterMs: (call: PlacedCall, minimumMs: number) => number;
}

/** The fields of a call that decide which upstreams it may go to. */
export type PlacedCall = Pick<Call, 'service' | 'allowsVersionOf'>;

/** The connection has led to another upstream, which has the address now. */
const misdirected = 421;

export const UpstreamStatements = {
  create: (clock: Clock, log: Log, fleet: Fleet, limits: StatedLimits): UpstreamStatements => {
    const applyWait = (member: FleetMember, retryAfterMs: number): void => {
      const waitUntilMs = clock.monotonicMs() + retryAfterMs;
      if (waitUntilMs <= member.waitUntilMs) {
        return;
      }
      member.waitUntilMs = waitUntilMs;
      log.event('upstream asks for no requests', { upstream: member.upstream.id, retryAfterMs });
    };

    const applyLeaving = (member: FleetMember): void => {
      if (member.statesLeaving) {
        return;
      }
      member.statesLeaving = true;
      log.event('upstream states that it is leaving', { upstream: member.upstream.id });
      fleet.markLeaving(member);
    };

    const applyCold = (member: FleetMember, coldMs: number): void => {
      const nowMs = clock.monotonicMs();
      if (member.coldUntilMs <= nowMs && coldMs > 0) {
        log.event('upstream states that it is cold', { upstream: member.upstream.id, coldMs });
      }
      member.coldUntilMs = nowMs + coldMs;
    };

    return {
      onResponse: (member, head, sentAtMs) => {
        if (head.status === misdirected) {
          return;
        }
        limits.onResponse(member, head, sentAtMs);
        if (
          head.coldMs !== undefined &&
          (head.coldMs > 0 || (head.sealed && head.matchesRequest))
        ) {
          applyCold(member, head.coldMs);
        }
        if (head.retryAfterMs !== undefined) {
          applyWait(member, head.retryAfterMs);
        }
        if (head.leaving) {
          applyLeaving(member);
        }
      },
      retryAfterMs: ({ service, allowsVersionOf }, minimumMs) => {
        const waitsMs: number[] = [];
        for (const member of fleet.ofService(service.name)) {
          if (!member.leaving && allowsVersionOf(member)) {
            waitsMs.push(member.waitUntilMs - clock.monotonicMs());
          }
        }
        return waitsMs.length === 0 ? minimumMs : Math.max(minimumMs, Math.min(...waitsMs));
      },
    };
  },
};
