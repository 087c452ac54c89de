import type { Cancel, Clock } from '@zinniagrade/clock';

export interface SilenceOptions {
  /** Time of the last progress, on the monotonic clock. */
  readonly lastProgressAtMs: () => number;
  /** Longest time without progress that is allowed now; may change at any time. */
  readonly maxSilenceMs: () => number;
  readonly onSilent: () => void;
}

/** How often a limit that may change is evaluated anew. */
const checkIntervalMs = 250;

/** Calls `onSilent` each time that nothing progresses for too long. */
export const watchSilence = (clock: Clock, options: SilenceOptions): Cancel =>
  clock.every(checkIntervalMs, () => {
    if (clock.monotonicMs() - options.lastProgressAtMs() > options.maxSilenceMs()) {
      options.onSilent();
    }
  });
