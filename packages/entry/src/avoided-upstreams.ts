import type { Clock } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import type { Milliseconds, UpstreamId } from '@zinniagrade/types';

/** A full upstream may have room soon; an unreachable one is probably down. */
const avoidFullMs: Milliseconds = 100;
const avoidUnreachableMs: Milliseconds = 1_000;
/** Long, because a leaving upstream is retried only in case it does not shut down after all. */
const avoidLeavingMs: Milliseconds = 60_000;

/** Whether the upstream refused because it is shutting down. */
export const isLeavingRefusal = ({ kind, detail }: Failure): boolean =>
  kind === 'upstream-refused' && detail.includes('leaving');

/**
 * Upstreams that this node temporarily does not use, because they refused work or were unreachable.
 */
export interface AvoidedUpstreams {
  readonly recordFailure: (upstream: UpstreamId, failure: Failure) => void;
  /** The given upstreams and those that are currently avoided. */
  readonly withAvoided: (excluded: ReadonlySet<UpstreamId>) => ReadonlySet<UpstreamId>;
}

const avoidDurationMs = (failure: Failure): Milliseconds => {
  switch (failure.kind) {
    case 'upstream-refused':
      return isLeavingRefusal(failure) ? avoidLeavingMs : avoidFullMs;
    case 'upstream-unreachable':
      return avoidUnreachableMs;
    default:
      return 0;
  }
};

export const AvoidedUpstreams = {
  create: (clock: Clock): AvoidedUpstreams => {
    const avoidedUntil = new Map<UpstreamId, Milliseconds>();
    return {
      recordFailure: (upstream, failure) => {
        const durationMs = avoidDurationMs(failure);
        const end = clock.monotonicMs() + durationMs;
        if (durationMs > 0 && end > (avoidedUntil.get(upstream) ?? 0)) {
          avoidedUntil.set(upstream, end);
        }
      },
      withAvoided: (excluded) => {
        const now = clock.monotonicMs();
        for (const [upstream, end] of avoidedUntil) {
          if (end <= now) {
            avoidedUntil.delete(upstream);
          }
        }
        return avoidedUntil.size === 0 ? excluded : new Set([...excluded, ...avoidedUntil.keys()]);
      },
    };
  },
};
