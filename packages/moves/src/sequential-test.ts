/** Wald's sequential probability ratio test, comparing the rates of bad answers of two versions. */

/** Minimum number of answers of the old version for its rate to count as known. */
export const minOldAnswers = 30;
/**
 * The old version's rate is taken at the upper end of its confidence interval of two standard
 * errors.
 */
const intervalStandardErrors = 2;
/** Above this rate a worse version cannot be detected. */
const maxBadRate = 0.98;

export interface Rates {
  readonly newBad: number;
  readonly newTotal: number;
  readonly oldBad: number;
  readonly oldTotal: number;
  /** The old version's rate over the period of the new counts, if it has answers there. */
  readonly oldRecentRate?: number;
}

/** The test distinguishes the rate of the old version from that rate raised by `effect`. */
export interface EffectSize {
  readonly effect: number;
  /** Lower bound for the rate of the old version. */
  readonly floor: number;
}

/** Upper end of the Wilson confidence interval of a rate. */
const upperRate = (bad: number, total: number): number => {
  const squared = intervalStandardErrors * intervalStandardErrors;
  const rate = bad / total;
  const centre = rate + squared / (2 * total);
  const spread =
    intervalStandardErrors * Math.sqrt((rate * (1 - rate)) / total + squared / (4 * total * total));
  return (centre + spread) / (1 + squared / total);
};

/**
 * Log-likelihood ratio of "worse by `effect`" against "as good as the old version". Undefined while
 * the rate of the old version is not known, or if it is too high to detect a worse one.
 */
export const logLikelihoodRatio = (
  rates: Rates,
  { effect, floor }: EffectSize,
): number | undefined => {
  if (rates.oldTotal < minOldAnswers) {
    return undefined;
  }
  const oldRate = Math.max(
    floor,
    upperRate(rates.oldBad, rates.oldTotal),
    rates.oldRecentRate ?? 0,
  );
  const worseRate = oldRate + Math.max(effect, oldRate / 2);
  if (worseRate > maxBadRate) {
    return undefined;
  }
  const good = rates.newTotal - rates.newBad;
  return (
    rates.newBad * Math.log(worseRate / oldRate) + good * Math.log((1 - worseRate) / (1 - oldRate))
  );
};

/** The version is bad from this ratio up, if a good one may be judged bad with this probability. */
export const badBound = (falseAlarmProbability: number): number =>
  Math.log(1 / falseAlarmProbability);

/**
 * The version is good from this ratio down, if a bad one may be judged good with this probability.
 */
export const goodBound = (missProbability: number): number => Math.log(missProbability);
