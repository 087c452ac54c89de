import type { Clock } from '@zinniagrade/clock';

export interface RequestDeadlineOptions {
  readonly arrivedAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly callerDeadlineAtMs: number;
  /** Time-out of the request's route at its arrival. */
  readonly timeoutMs: number;
}

/**
 * When a request ends unanswered: at its caller's deadline, or after the longest time-out that its
 * route has had since it arrived, whichever is first. A version that lowers the time-out holds for
 * later requests only, as it would cut work in progress that was allowed.
 */
export interface RequestDeadline {
  readonly atMs: () => number;
  /** The longest time-out of the route so far. */
  readonly timeoutMs: () => number;
  /** To be called with the time-out of each later version. */
  readonly allow: (timeoutMs: number) => void;
  /** Calls the listener once, when the deadline has passed. */
  readonly onReached: (listener: () => void) => void;
  readonly stop: () => void;
}

export const RequestDeadline = {
  create: (clock: Clock, options: RequestDeadlineOptions): RequestDeadline => {
    const { arrivedAtMs, callerDeadlineAtMs } = options;
    const listeners: (() => void)[] = [];
    let { timeoutMs } = options;
    let cancel: () => void = () => undefined;

    const atMs = (): number => Math.min(callerDeadlineAtMs, arrivedAtMs + timeoutMs);

    const onReached = (): void => {
      for (const listener of listeners.splice(0)) {
        listener();
      }
    };

    const schedule = (): void => {
      cancel();
      cancel = clock.after(atMs() - clock.monotonicMs(), onReached);
    };
    schedule();

    return {
      atMs,
      timeoutMs: () => timeoutMs,
      allow: (laterTimeoutMs) => {
        if (laterTimeoutMs > timeoutMs) {
          timeoutMs = laterTimeoutMs;
          schedule();
        }
      },
      onReached: (listener) => {
        listeners.push(listener);
      },
      stop: () => {
        cancel();
      },
    };
  },
};
