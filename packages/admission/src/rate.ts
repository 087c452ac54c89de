import type { Milliseconds } from '@zinniagrade/types';
import type { Rate as RateState } from './admission-state.js';

/** Time constant of the decaying average. */
const averagingWindowMs = 10_000;

export const Rate = {
  create: (now: Milliseconds): RateState => ({ costPerMs: 0, updatedAt: now, startedAt: now }),
};

export const addToRate = (rate: RateState, cost: number, now: Milliseconds): RateState => ({
  ...rate,
  costPerMs:
    rate.costPerMs * Math.exp((rate.updatedAt - now) / averagingWindowMs) +
    cost / averagingWindowMs,
  updatedAt: now,
});

/** Cost per millisecond, corrected for the time before the first observation. */
export const rateAt = (rate: RateState, now: Milliseconds): number => {
  const observedPart = 1 - Math.exp((rate.startedAt - now) / averagingWindowMs);
  return observedPart <= 0
    ? 0
    : (rate.costPerMs * Math.exp((rate.updatedAt - now) / averagingWindowMs)) / observedPart;
};
