import { bucketCount, bucketOf, lowerBound, upperBound } from './buckets.js';

/**
 * Distribution of output length in hazard form: for each bucket, how many generations reached it and
 * how many of them ended in it. Generations that still run, or that were cancelled, count in `reached`
 * alone, so that long ones are not missed while they run.
 */
export interface LengthDistribution {
  readonly reached: readonly number[];
  readonly ended: readonly number[];
}

/** Generations after which an observation counts half. */
const halfLifeGenerations = 2000;
const keepPerGeneration = 0.5 ** (1 / halfLifeGenerations);

/** Median and spread (sigma of the logarithm) of the prior, and its weight in generations. */
const prior = { medianTokens: 300, sigma: 1.4, weight: 4 };

const logistic = (x: number): number => 1 / (1 + Math.exp(-x));

/** Probability of more than the given number of tokens, by the prior (log-logistic). */
const priorSurvival = (tokens: number): number =>
  tokens <= 0 ? 1 : 1 - logistic((1.7 / prior.sigma) * Math.log(tokens / prior.medianTokens));

const createPrior = (): LengthDistribution => {
  const reached = Array.from(
    { length: bucketCount },
    (_, bucket) => prior.weight * priorSurvival(lowerBound(bucket)),
  );
  const ended = reached.map(
    (value, bucket) => value - prior.weight * priorSurvival(upperBound(bucket)),
  );
  return { reached, ended };
};

const empty = createPrior();

export const LengthDistribution = {
  create: (): LengthDistribution => empty,
};

/** Progress of one generation since the last observation of it; `from` is 0 at first. */
export interface GenerationProgress {
  readonly fromTokens: number;
  readonly toTokens: number;
  /** True when the generation came to its own end at `toTokens`. */
  readonly ended: boolean;
}

/** Takes in progress. Old observations decay with each generation that ends. */
export const addObservation = (
  distribution: LengthDistribution,
  progress: GenerationProgress,
): LengthDistribution => {
  const keep = progress.ended ? keepPerGeneration : 1;
  const first = progress.fromTokens < 1 ? 0 : bucketOf(progress.fromTokens) + 1;
  const last = bucketOf(Math.max(1, progress.toTokens));
  if (keep === 1 && first > last) {
    return distribution;
  }
  return {
    reached: distribution.reached.map(
      (value, bucket) => value * keep + (bucket >= first && bucket <= last ? 1 : 0),
    ),
    ended: distribution.ended.map(
      (value, bucket) => value * keep + (progress.ended && bucket === last ? 1 : 0),
    ),
  };
};

/** Probability to end in a bucket, for a generation that reaches it. */
const hazard = (distribution: LengthDistribution, bucket: number): number => {
  const reached = distribution.reached[bucket] ?? 0;
  const ended = distribution.ended[bucket] ?? 0;
  return bucket === bucketCount - 1 || reached <= 0 ? 1 : Math.min(1, ended / reached);
};

/** Part of a bucket that still lies ahead of a generation with the given tokens. */
const ahead = (bucket: number, tokens: number): number => {
  const [low, high] = [lowerBound(bucket), upperBound(bucket)];
  return tokens <= low ? 1 : Math.max(0, (high - tokens) / (high - low));
};

/** Probability to end in the part of a bucket that lies ahead. */
export const hazardAhead = (
  distribution: LengthDistribution,
  bucket: number,
  tokens: number,
): number => 1 - (1 - hazard(distribution, bucket)) ** ahead(bucket, tokens);

/**
 * Final length that is exceeded with probability `1 - quantile`, given the tokens so far. At least
 * `tokensSoFar`; at most `maxTokens`.
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
    const ends = survival * hazardAhead(distribution, bucket, tokensSoFar);
    if (survival - ends <= 1 - quantile) {
      const low = Math.max(tokensSoFar, lowerBound(bucket));
      const part = ends <= 0 ? 1 : (survival - (1 - quantile)) / ends;
      return Math.min(maxTokens, Math.ceil(low + part * (upperBound(bucket) - low)));
    }
    survival -= ends;
  }
  return maxTokens;
};

export interface Moments {
  readonly mean: number;
  readonly variance: number;
}

/** Mean and variance of the final length, given the tokens so far, cut off at `maxTokens`. */
export const finalLengthMoments = (
  distribution: LengthDistribution,
  tokensSoFar: number,
  maxTokens: number,
): Moments => {
  let survival = 1;
  let mean = 0;
  let square = 0;
  for (let bucket = bucketOf(tokensSoFar + 1); bucket < bucketCount; bucket += 1) {
    const low = Math.max(tokensSoFar, lowerBound(bucket));
    const value = Math.min(maxTokens, (low + upperBound(bucket)) / 2);
    const cut = upperBound(bucket) >= maxTokens;
    const ends = cut ? survival : survival * hazardAhead(distribution, bucket, tokensSoFar);
    mean += ends * value;
    square += ends * value * value;
    survival -= ends;
    if (cut) {
      break;
    }
  }
  return { mean, variance: Math.max(0, square - mean * mean) };
};
