import type { ModelId, ServiceId } from '@zinniagrade/types';
import type { Moments, GenerationProgress } from './length-distribution.js';
import {
  LengthDistribution,
  finalLengthMoments,
  finalLengthQuantile,
  addObservation,
} from './length-distribution.js';

/** Learned distributions by service and model. The least recently updated are evicted. */
export interface LengthEstimates {
  /** Ordered by their last update, oldest first. */
  readonly distributions: ReadonlyMap<string, LengthDistribution>;
}

/** Limit on the distributions kept; each takes about 1 KB. */
const maxDistributions = 256;

/** Limit for a request that sets none itself. */
export const defaultMaxTokens = 65_536;

export const lengthKey = (service: ServiceId, model: ModelId | undefined): string =>
  `${service}|${model ?? ''}`;

export const LengthEstimates = {
  create: (): LengthEstimates => ({ distributions: new Map() }),
};

export const distributionOf = (estimates: LengthEstimates, key: string): LengthDistribution =>
  estimates.distributions.get(key) ?? LengthDistribution.create();

/** Updates the estimates with the progress of one generation. */
export const learnLength = (
  estimates: LengthEstimates,
  key: string,
  progress: GenerationProgress,
): LengthEstimates => {
  const before = distributionOf(estimates, key);
  const after = addObservation(before, progress);
  if (after === before) {
    return estimates;
  }
  const distributions = new Map(estimates.distributions);
  distributions.delete(key);
  distributions.set(key, after);
  if (distributions.size > maxDistributions) {
    for (const oldest of distributions.keys()) {
      distributions.delete(oldest);
      break;
    }
  }
  return { distributions };
};

/** Quantile of the number of tokens still to come. */
export const remainingQuantile = (
  estimates: LengthEstimates,
  key: string,
  tokensSoFar: number,
  quantile: number,
  maxTokens: number = defaultMaxTokens,
): number =>
  finalLengthQuantile(distributionOf(estimates, key), tokensSoFar, quantile, maxTokens) -
  tokensSoFar;

/** Mean and variance of the number of tokens still to come. */
export const remainingMoments = (
  estimates: LengthEstimates,
  key: string,
  tokensSoFar: number,
  maxTokens: number = defaultMaxTokens,
): Moments => {
  const { mean, variance } = finalLengthMoments(
    distributionOf(estimates, key),
    tokensSoFar,
    maxTokens,
  );
  return { mean: Math.max(0, mean - tokensSoFar), variance };
};
