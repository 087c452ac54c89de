import type { Clock } from '@zinniagrade/clock';

/** How often an engine is asked for its list of runs while its word on one of them is awaited. */
export const runListIntervalMs = 150;
/** Lists are some hundred milliseconds old, so a run that began later than this may not be on them. */
const maxListAgeMs = 1000;

/** What an engine's lists of runs say of one run. */
export interface RunListCheck {
  /** Whether a list that was read now proves that the engine no longer works on the run. */
  readonly provesEnd: (ids: readonly string[]) => boolean;
  /** Whether the last list named the run. */
  readonly isListed: () => boolean;
}

export const RunListCheck = {
  /** `begunAtMs` is the time of the run's first event; undefined if there was none. */
  create: (clock: Clock, requestId: string, begunAtMs: number | undefined): RunListCheck => {
    let listed = false;
    return {
      provesEnd: (ids) => {
        const wasListed = listed;
        const begunForMs = clock.monotonicMs() - (begunAtMs ?? Infinity);
        listed = ids.includes(requestId);
        return !listed && (wasListed || begunForMs >= maxListAgeMs);
      },
      isListed: () => listed,
    };
  },
};
