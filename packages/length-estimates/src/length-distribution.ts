import { bucketCount, bucketOf, lowerBound, upperBound } from './buckets.js';

/**
 * Distribution of output length in hazard form: for each bucket, how many generations reached it and
 * how many of them ended in it. Running and cancelled generations count only in `reached`, so that
 * long ones are included while they run.
 */
export interface LengthDistribution {
  readonly reached: readonly number[];
  readonly ended: readonly number[];
}

/** Number of ended generations after which an observation has half its weight. */
const halfLifeGenerations = 2000;
const decayPerGeneration = 0.5 ** (1 / halfLifeGenerations);

/** Median and spread (sigma of the logarithm) of the prior, and its weight in generations. */
const priorParameters = { medianTokens: 300, sigma: 1.4, weight: 4 };

const logistic = (x: number): number => 1 / (1 + Math.exp(-x));

/** Prior probability (log-logistic) of an output longer than the given number of tokens. */
const priorSurvival = (tokens: number): number =>
  tokens <= 0
    ? 1
    : 1 - logistic((1.7 / priorParameters.sigma) * Math.log(tokens / priorParameters.medianTokens));

const createPrior = (): LengthDistribution => {
  const reached = Array.from(
    { length: bucketCount },
    (_, bucket) => priorParameters.weight * priorSurvival(lowerBound(bucket)),
  );
  const ended = reached.map(
    (value, bucket) => value - priorParameters.weight * priorSurvival(upperBound(bucket)),
  );
  return { reached, ended };
};

const priorDistribution = createPrior();

export const LengthDistribution = {
  create: (): LengthDistribution => priorDistribution,
};

/** Progress of one generation since its last observation; `fromTokens` is 0 for the first. */
export interface GenerationProgress {
  readonly fromTokens: number;
  readonly toTokens: number;
  /** Whether the generation ended by itself at `toTokens`. */
  readonly ended: boolean;
}

/** Adds an observation. Older observations decay with each generation that ends. */
export const addObservation = (
  distribution: LengthDistribution,
  progress: GenerationProgress,
): LengthDistribution => {
  const decay = progress.ended ? decayPerGeneration : 1;
  const first = progress.fromTokens < 1 ? 0 : bucketOf(progress.fromTokens) + 1;
  const last = bucketOf(Math.max(1, progress.toTokens));
  if (decay === 1 && first > last) {
    return distribution;
  }
  return {
    reached: distribution.reached.map(
      (value, bucket) => value * decay + (bucket >= first && bucket <= last ? 1 : 0),
    ),
    ended: distribution.ended.map(
      (value, bucket) => value * decay + (progress.ended && bucket === last ? 1 : 0),
    ),
  };
};

/** Probability that a generation which reaches a bucket ends in it. */
const hazard = (distribution: LengthDistribution, bucket: number): number => {
  const reached = distribution.reached[bucket] ?? 0;
  const ended = distribution.ended[bucket] ?? 0;
  return bucket === bucketCount - 1 || reached <= 0 ? 1 : Math.min(1, ended / reached);
};

/** Fraction of a bucket that a generation with the given number of tokens has not yet passed. */
const fractionAhead = (bucket: number, tokens: number): number => {
  const [low, high] = [lowerBound(bucket), upperBound(bucket)];
  return tokens <= low ? 1 : Math.max(0, (high - tokens) / (high - low));
};

/** Probability that a generation ends in the part of a bucket that it has not yet passed. */
export const hazardAhead = (
  distribution: LengthDistribution,
  bucket: number,
  tokens: number,
): number => 1 - (1 - hazard(distribution, bucket)) ** fractionAhead(bucket, tokens);

/**
 * Final length that is exceeded with probability `1 - quantile`, given the tokens so far. It lies
 * between `tokensSoFar` and `maxTokens`.
 */
export const finalLengthQuantile = (
  distribution: LengthDistribution,
  tokensSoFar: number,
  quantile: number,
  maxTokens: number,
): number => {
  let survival = 1;
  const start = bucketOf(tokensSoFar + 1);
  for (let bucket = start; bucket < bucketCount; bucket += 1) {
    const endProbability = survival * hazardAhead(distribution, bucket, tokensSoFar);
    if (survival - endProbability <= 1 - quantile) {
      const low = Math.max(tokensSoFar, lowerBound(bucket));
      const fraction = endProbability <= 0 ? 1 : (survival - (1 - quantile)) / endProbability;
      return Math.min(maxTokens, Math.ceil(low + fraction * (upperBound(bucket) - low)));
    }
    survival -= endProbability;
  }
  return maxTokens;
};

export interface Moments {
  readonly mean: number;
  readonly variance: number;
}

/** Mean and variance of the final length, given the tokens so far, truncated at `maxTokens`. */
export const finalLengthMoments = (
  distribution: LengthDistribution,
  tokensSoFar: number,
  maxTokens: number,
): Moments => {
  let survival = 1;
  let mean = 0;
  let meanSquare = 0;
  for (let bucket = bucketOf(tokensSoFar + 1); bucket < bucketCount; bucket += 1) {
    const low = Math.max(tokensSoFar, lowerBound(bucket));
    const value = Math.min(maxTokens, (low + upperBound(bucket)) / 2);
    const truncated = upperBound(bucket) >= maxTokens;
    const endProbability = truncated
      ? survival
      : survival * hazardAhead(distribution, bucket, tokensSoFar);
    mean += endProbability * value;
    meanSquare += endProbability * value * value;
    survival -= endProbability;
    if (truncated) {
      break;
    }
  }
  return { mean, variance: Math.max(0, meanSquare - mean * mean) };
};
