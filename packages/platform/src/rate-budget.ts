import type { Clock } from '@zinniagrade/clock';

/** A token bucket that holds one second of its rate. */
export interface RateBudget {
  /** False when the budget is used up; the call must then not be made. */
  readonly tryTake: () => boolean;
}

export const RateBudget = {
  create: (clock: Clock, ratePerSecond: number): RateBudget => {
    const capacity = Math.max(1, ratePerSecond);
    let tokens = capacity;
    let refilledAt = clock.monotonicMs();
    return {
      tryTake: () => {
        const now = clock.monotonicMs();
        tokens = Math.min(capacity, tokens + ((now - refilledAt) * ratePerSecond) / 1000);
        refilledAt = now;
        if (tokens < 1) {
          return false;
        }
        tokens -= 1;
        return true;
      },
    };
  },
};
