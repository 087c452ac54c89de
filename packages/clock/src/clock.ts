import type { Milliseconds } from '@zinniagrade/types';

/** Cancels a timer; has no effect if the timer has already fired. */
export type Cancel = () => void;

/** Time source and timers; passed as a parameter so that tests can use a virtual clock. */
export interface Clock {
  /** Monotonic clock in milliseconds; not comparable between processes. */
  readonly monotonicMs: () => Milliseconds;
  /** Wall clock in milliseconds since the epoch. */
  readonly wallMs: () => Milliseconds;
  readonly after: (delayMs: Milliseconds, run: () => void) => Cancel;
  /** Runs at a fixed interval; missed runs are skipped and not caught up on. */
  readonly every: (intervalMs: Milliseconds, run: () => void) => Cancel;
}

/** The system clock. */
export const Clock = {
  create: (): Clock => ({
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    after: (delayMs, run) => {
      const timer = setTimeout(run, delayMs);
      return () => {
        clearTimeout(timer);
      };
    },
    every: (intervalMs, run) => {
      const timer = setInterval(run, intervalMs);
      return () => {
        clearInterval(timer);
      };
    },
  }),
};
