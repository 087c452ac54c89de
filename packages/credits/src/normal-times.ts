import type { UpstreamUsage } from '@zinniagrade/types';
import type { NormalTimes } from './ramp.js';

/** Part by which one observation moves a learned median. */
const medianStep = 0.05;

const towards = (median: number, value: number | undefined): number =>
  value === undefined
    ? median
    : value > median
      ? median * (1 + medianStep)
      : median / (1 + medianStep);

/** Moves the learned medians towards what a warm upstream showed. */
export const learn = (normal: NormalTimes, inFlight: UpstreamUsage): NormalTimes => ({
  firstTokenMs: towards(normal.firstTokenMs, inFlight.firstTokenMs),
  betweenTokensMs: towards(normal.betweenTokensMs, inFlight.betweenTokensMs),
});
