import type { Clock } from '@zinniagrade/clock';

/** Whether this process is shutting down, and the time that it has left for open requests. */
export interface Shutdown {
  /** Starts the grace period; has no effect if it has already started. */
  readonly begin: () => void;
  readonly hasBegun: () => boolean;
  /** Time until this process has to end; undefined unless it is shutting down. */
  readonly remainingMs: () => number | undefined;
  /** Resolves when no request is open any more, or no time remains. */
  readonly whenIdle: (openRequests: () => number) => Promise<void>;
}

const idleCheckIntervalMs = 50;
/** A node completes its shutdown this long before it is killed. */
const shutdownMarginMs = 400;

export const Shutdown = {
  /** `graceMs` is the time from the stop signal until the process is killed. */
  create: (clock: Clock, graceMs: () => number): Shutdown => {
    let beganAtMs: number | undefined;

    const remainingMs = (): number | undefined =>
      beganAtMs === undefined
        ? undefined
        : Math.max(0, beganAtMs + graceMs() - shutdownMarginMs - clock.monotonicMs());

    return {
      begin: () => {
        beganAtMs ??= clock.monotonicMs();
      },
      hasBegun: () => beganAtMs !== undefined,
      remainingMs,
      whenIdle: (openRequests) =>
        new Promise((resolve) => {
          const cancel = clock.every(idleCheckIntervalMs, () => {
            if (openRequests() === 0 || remainingMs() === 0) {
              cancel();
              resolve();
            }
          });
        }),
    };
  },
};
