import type { Clock } from '@zinniagrade/clock';

/** A token bucket whose capacity is one second of its rate, at least 1. */
export interface RateBudget {
  /** Takes one token; false when the budget is used up, and the call must not be made. */
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
