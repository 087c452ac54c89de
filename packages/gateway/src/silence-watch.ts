import type { Cancel, Clock } from '@zinniagrade/clock';

export interface SilenceOptions {
  /** Time of the last progress, on the monotonic clock. */
  readonly lastProgressAtMs: () => number;
  /** Longest time without progress that is allowed now; may change at any time. */
  readonly maxSilenceMs: () => number;
  readonly onSilent: () => void;
}

/**
 * How often a limit that may change is evaluated anew, and how often `onSilent` is called while the
 * silence lasts.
 */
const checkIntervalMs = 250;

/** Timers of Node.js may fire up to a millisecond early; that must not cost another interval. */
const minDelayMs = 1;

/**
 * Calls `onSilent` when nothing has progressed for too long, at the time itself and not at the next
 * check: what callers wait is short, and the time between two checks would be lost to them.
 */
export const watchSilence = (clock: Clock, options: SilenceOptions): Cancel => {
  let cancelled = false;
  let cancelTimer: Cancel;

  const leftMs = (): number =>
    options.lastProgressAtMs() + options.maxSilenceMs() - clock.monotonicMs();

  const checkAfter = (delayMs: number): void => {
    if (!cancelled) {
      cancelTimer = clock.after(Math.min(checkIntervalMs, Math.max(minDelayMs, delayMs)), check);
    }
  };

  const check = (): void => {
    const left = leftMs();
    if (left > 0) {
      checkAfter(left);
      return;
    }
    options.onSilent();
    checkAfter(checkIntervalMs);
  };

  checkAfter(leftMs());
  return () => {
    cancelled = true;
    cancelTimer();
  };
};
