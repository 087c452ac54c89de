import type { ModelId, ServiceId } from '@zinniagrade/types';
import type { Moments, GenerationProgress } from './length-distribution.js';
import {
  LengthDistribution,
  finalLengthMoments,
  finalLengthQuantile,
  addObservation,
} from './length-distribution.js';

/** Learned distributions by service and model; the least recently used are dropped. */
export interface LengthEstimates {
  /** In the order of their last use, oldest first. */
  readonly distributions: ReadonlyMap<string, LengthDistribution>;
}

/** About 1 KB each. */
const maxDistributions = 256;

/** Used when a request sets no limit itself. */
export const defaultMaxTokens = 65_536;

export const lengthKey = (service: ServiceId, model: ModelId | undefined): string =>
  `${service}|${model ?? ''}`;

export const LengthEstimates = {
  create: (): LengthEstimates => ({ distributions: new Map() }),
};

export const distributionOf = (estimates: LengthEstimates, key: string): LengthDistribution =>
  estimates.distributions.get(key) ?? LengthDistribution.create();

/** Takes in the progress of one generation. */
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

/** Quantile of the tokens that are still to come. */
export const remainingQuantile = (
  estimates: LengthEstimates,
  key: string,
  tokensSoFar: number,
  quantile: number,
  maxTokens: number = defaultMaxTokens,
): number =>
  finalLengthQuantile(distributionOf(estimates, key), tokensSoFar, quantile, maxTokens) -
  tokensSoFar;

/** Mean and variance of the tokens that are still to come. */
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
