import { bucketCount, bucketOf, lowerBound, upperBound } from './buckets.js';
import type { LengthDistribution } from './length-distribution.js';
import { hazardAhead } from './length-distribution.js';
import type { LengthEstimates } from './length-estimates.js';
import { defaultMaxTokens, distributionOf } from './length-estimates.js';

/** Steps ahead, in tokens generated per stream, at which the expected memory is computed. */
export const horizonTokens: readonly number[] = [
  0, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16_384,
];

/** Expected memory in tokens at each of `horizonTokens`. Curves of several streams can be added. */
export type MemoryCurve = readonly number[];

export const emptyCurve: MemoryCurve = horizonTokens.map(() => 0);

/** Probabilities that a stream still runs at each of `horizonTokens`, computed in one pass. */
const survivalProbabilities = (
  distribution: LengthDistribution,
  tokensSoFar: number,
): readonly number[] => {
  const result: number[] = [];
  let bucket = bucketOf(tokensSoFar + 1);
  let survival = 1;
  for (const ahead of horizonTokens) {
    const target = tokensSoFar + ahead;
    while (bucket < bucketCount && upperBound(bucket) <= target) {
      survival *= 1 - hazardAhead(distribution, bucket, tokensSoFar);
      bucket += 1;
    }
    const low = Math.max(tokensSoFar, lowerBound(bucket));
    const width = upperBound(bucket) - low;
    const fraction = bucket < bucketCount && width > 0 ? Math.max(0, target - low) / width : 0;
    const bucketSurvival =
      bucket < bucketCount ? 1 - hazardAhead(distribution, bucket, tokensSoFar) : 0;
    result.push(survival * bucketSurvival ** fraction);
  }
  return result;
};

/** Expected memory of one stream: its size at each step times the probability that it still runs. */
export const memoryCurve = (
  estimates: LengthEstimates,
  key: string,
  stream: {
    readonly promptTokens: number;
    readonly tokensSoFar: number;
    readonly maxTokens?: number;
  },
): MemoryCurve => {
  const { promptTokens, tokensSoFar, maxTokens = defaultMaxTokens } = stream;
  const survivalAtStep = survivalProbabilities(distributionOf(estimates, key), tokensSoFar);
  return horizonTokens.map((ahead, index) =>
    tokensSoFar + ahead > maxTokens
      ? 0
      : (promptTokens + tokensSoFar + ahead) * (survivalAtStep[index] ?? 0),
  );
};

export const addCurves = (a: MemoryCurve, b: MemoryCurve): MemoryCurve =>
  a.map((value, index) => value + (b[index] ?? 0));

/** Expected memory at the peak. */
export const peakOf = (curve: MemoryCurve): number => Math.max(0, ...curve);

/** Peak of the sum of two curves, computed without allocating the sum. */
export const peakOfSum = (a: MemoryCurve, b: MemoryCurve): number => {
  let peak = 0;
  for (const [index, value] of a.entries()) {
    peak = Math.max(peak, value + (b[index] ?? 0));
  }
  return peak;
};
