import type { UpstreamUsage } from '@zinniagrade/types';
import type { LatencyMedians } from './ramp.js';

/** Relative step by which one observation moves a learned median. */
const medianStepRatio = 0.05;

const stepTowards = (median: number, value: number | undefined): number =>
  value === undefined
    ? median
    : value > median
      ? median * (1 + medianStepRatio)
      : median / (1 + medianStepRatio);

/** Moves the learned medians towards the latencies observed on a warm upstream. */
export const updateLatencyMedians = (
  medians: LatencyMedians,
  inFlight: UpstreamUsage,
): LatencyMedians => ({
  firstTokenMs: stepTowards(medians.firstTokenMs, inFlight.firstTokenMs),
  betweenTokensMs: stepTowards(medians.betweenTokensMs, inFlight.betweenTokensMs),
});
