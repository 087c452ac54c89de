import type { Clock } from '@zinniagrade/clock';

/** Whether this process is shutting down, and the time that it has left for open requests. */
export interface Shutdown {
  /** Starts the grace period; has no effect if it has already started. */
  readonly begin: () => void;
  readonly hasBegun: () => boolean;
  /** Time until this process has to end; undefined unless it is shutting down. */
  readonly remainingMs: () => number | undefined;
  /** Whether a request that ends within this time can be finished in the time that is left. */
  readonly canFinish: (durationMs: number) => boolean;
  /** Calls the listener once, when too little time remains to read the rest of a request. */
  readonly onReadingEnds: (listener: () => void) => void;
  /** Resolves when nothing is open any more, or no time remains. */
  readonly whenIdle: (isIdle: () => boolean) => Promise<void>;
}

const idleCheckIntervalMs = 50;
/** A node completes its shutdown this long before it is killed. */
const shutdownMarginMs = 400;
/** Requests that are not read by then are refused, which takes their callers some time to read. */
const readingEndsBeforeMs = 1000;

export const Shutdown = {
  /** `graceMs` is the time from the stop signal until the process is killed. */
  create: (clock: Clock, graceMs: () => number): Shutdown => {
    let beganAtMs: number | undefined;

    const remainingMs = (): number | undefined =>
      beganAtMs === undefined
        ? undefined
        : Math.max(0, beganAtMs + graceMs() - shutdownMarginMs - clock.monotonicMs());

    const readingListeners: (() => void)[] = [];

    const endReading = (): void => {
      for (const listener of readingListeners) {
        listener();
      }
    };

    return {
      begin: () => {
        if (beganAtMs === undefined) {
          beganAtMs = clock.monotonicMs();
          clock.after(Math.max(0, graceMs() - shutdownMarginMs - readingEndsBeforeMs), endReading);
        }
      },
      canFinish: (durationMs) => (remainingMs() ?? Infinity) >= durationMs,
      onReadingEnds: (listener) => {
        readingListeners.push(listener);
      },
      hasBegun: () => beganAtMs !== undefined,
      remainingMs,
      whenIdle: (isIdle) =>
        new Promise((resolve) => {
          const cancel = clock.every(idleCheckIntervalMs, () => {
            if (isIdle() || remainingMs() === 0) {
              cancel();
              resolve();
            }
          });
        }),
    };
  },
};
