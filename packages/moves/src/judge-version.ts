import type { Milliseconds, VersionEvidence, VersionId } from '@zinniagrade/types';
import {
  evidenceOnRoute,
  evidenceOverall,
  latencyEvidenceOf,
  routesOf,
  type EvidenceTable,
} from './evidence.js';
import {
  badBound,
  goodBound,
  logLikelihoodRatio,
  minOldAnswers,
  type Rates,
} from './sequential-test.js';

/** Probability that a good version is judged bad at some time during one move. */
const moveFalseAlarmProbability = 0.004;
/** Probability that a version that is worse by the small effect is judged good. */
const missProbability = 0.01;
/**
 * An answer is slow if at most this share of the old version's answers is in its bucket or above.
 */
const slowAnswerShare = 0.1;

/**
 * The tests on the counts of the whole move look for the small effect. The tests on the last
 * seconds and on the time since the last raise look for the large effect, as they have few answers.
 */
const measures = [
  { name: 'failures', floor: 0.02, smallEffect: 0.1, largeEffect: 0.25 },
  { name: 'slow first tokens', floor: 0.05, smallEffect: 0.2, largeEffect: 0.35 },
  { name: 'slow tokens', floor: 0.05, smallEffect: 0.2, largeEffect: 0.35 },
] as const;

type Measure = (typeof measures)[number];

export interface JudgedEvidence {
  readonly fromVersion: VersionId;
  readonly toVersion: VersionId;
  /** Counts since the start of the move. */
  readonly total: EvidenceTable;
  /** Counts since the share was last raised. */
  readonly sinceRaise: EvidenceTable;
  /** Counts of the last seconds, one table per window. */
  readonly recent: readonly EvidenceTable[];
  /** Length of the move; a fault can begin in any of its seconds. */
  readonly moveSeconds: number;
}

export interface Judgement {
  /** Measure and scope of the test that judged the version bad; undefined if none did. */
  readonly bad?: string;
  /** Largest test statistic, relative to the bound of its test; from 1 on, the version is bad. */
  readonly suspicion: number;
  /**
   * Whether the version is good over all routes, on all counts and on those since the last raise.
   */
  readonly good: boolean;
  /**
   * Whether, over all routes, the version is more likely worse by the large effect than as good as
   * the old one on some measure, or no measure can be compared yet. Unlike `suspicion`, this tells
   * a bad version from a good one before there are enough answers for a verdict.
   */
  readonly doubtful: boolean;
  /** Routes on which the version is not judged good yet. */
  readonly undecidedRoutes: readonly string[];
  /** Routes on which the new version is more likely worse than as good as the old one. */
  readonly doubtfulRoutes: readonly string[];
}

const latencyCounts = (measure: Measure, evidence: VersionEvidence): readonly number[] =>
  measure.name === 'slow first tokens' ? evidence.firstTokenCounts : evidence.betweenTokensCounts;

const sum = (counts: readonly number[]): number => {
  let total = 0;
  for (const count of counts) {
    total += count;
  }
  return total;
};

/**
 * The first bucket of slow answers, chosen so that at most `share` of the old version's are slow.
 */
export const firstSlowBucket = (oldCounts: readonly number[], share = slowAnswerShare): number => {
  const allowed = share * sum(oldCounts);
  let above = 0;
  let bucket = oldCounts.length;
  while (bucket > 1 && above + (oldCounts[bucket - 1] ?? 0) <= allowed) {
    bucket -= 1;
    above += oldCounts[bucket] ?? 0;
  }
  return Math.min(bucket, oldCounts.length - 1);
};

/**
 * Whether a request that has waited this long for its first token is slow already, on its route and
 * over all routes, whenever the token comes. False while the old version has too few answers.
 */
export const isSlowWait = (
  table: EvidenceTable,
  oldVersion: VersionId,
  route: string,
  waitedMs: Milliseconds,
): boolean => {
  const overall = evidenceOverall(table, oldVersion);
  if (overall === undefined || sum(overall.firstTokenCounts) < minOldAnswers) {
    return false;
  }
  const wait = latencyEvidenceOf({ ...overall, route, firstTokenMs: waitedMs });
  const bucket = wait.firstTokenCounts.indexOf(1);
  const onRoute = evidenceOnRoute(table, oldVersion, route) ?? overall;
  return (
    bucket >= firstSlowBucket(overall.firstTokenCounts) &&
    (sum(onRoute.firstTokenCounts) === 0 || bucket >= firstSlowBucket(onRoute.firstTokenCounts))
  );
};

interface BadCount {
  readonly bad: number;
  readonly total: number;
}

const badCount = (measure: Measure, evidence: VersionEvidence, slowBucket: number): BadCount => {
  if (measure.name === 'failures') {
    return { bad: evidence.failed, total: evidence.succeeded + evidence.failed };
  }
  const counts = latencyCounts(measure, evidence);
  return { bad: sum(counts.slice(slowBucket)), total: sum(counts) };
};

const ratesOf = (
  measure: Measure,
  old: VersionEvidence,
  newEvidence: VersionEvidence | undefined,
  oldRecentEvidence?: VersionEvidence,
): Rates => {
  const slowBucket = measure.name === 'failures' ? 0 : firstSlowBucket(latencyCounts(measure, old));
  const oldCount = badCount(measure, old, slowBucket);
  const newCount =
    newEvidence === undefined ? { bad: 0, total: 0 } : badCount(measure, newEvidence, slowBucket);
  const rates = {
    newBad: newCount.bad,
    newTotal: newCount.total,
    oldBad: oldCount.bad,
    oldTotal: oldCount.total,
  };
  if (oldRecentEvidence === undefined) {
    return rates;
  }
  const recent = badCount(measure, oldRecentEvidence, slowBucket);
  return recent.total === 0 ? rates : { ...rates, oldRecentRate: recent.bad / recent.total };
};

interface ScopeEvidence {
  readonly old: VersionEvidence;
  readonly total: VersionEvidence | undefined;
  readonly sinceRaise: VersionEvidence | undefined;
  readonly recent: readonly {
    readonly newEvidence: VersionEvidence | undefined;
    readonly old: VersionEvidence | undefined;
  }[];
}

interface MeasureJudgement {
  readonly suspicion: number;
  readonly ratio: number;
  /** The ratio for the large effect, as far as the old version's rate allows this test. */
  readonly largeEffectRatio: number;
  readonly good: boolean;
  readonly goodSinceRaise: boolean;
}

/** Undefined if the old version has too few answers for a comparison, or its rate is too high. */
const judgeMeasure = (
  measure: Measure,
  evidence: ScopeEvidence,
  falseAlarmProbability: number,
  moveSeconds: number,
): MeasureJudgement | undefined => {
  const { floor } = measure;
  const small = { effect: measure.smallEffect, floor };
  const large = { effect: measure.largeEffect, floor };
  const ratio = logLikelihoodRatio(ratesOf(measure, evidence.old, evidence.total), small);
  if (ratio === undefined) {
    return undefined;
  }
  let suspicion = ratio / badBound(falseAlarmProbability / 2);
  const recentBound = badBound(falseAlarmProbability / 2 / Math.max(1, moveSeconds));
  for (const { newEvidence, old } of evidence.recent) {
    const recent = logLikelihoodRatio(ratesOf(measure, evidence.old, newEvidence, old), large) ?? 0;
    suspicion = Math.max(suspicion, recent / recentBound);
  }
  const sinceRaise = logLikelihoodRatio(ratesOf(measure, evidence.old, evidence.sinceRaise), large);
  return {
    suspicion,
    ratio,
    largeEffectRatio:
      logLikelihoodRatio(ratesOf(measure, evidence.old, evidence.total), large) ?? ratio,
    good: ratio <= goodBound(missProbability),
    goodSinceRaise: (sinceRaise ?? 0) <= goodBound(missProbability),
  };
};

interface ScopeJudgement {
  readonly bad?: string;
  readonly suspicion: number;
  readonly good: boolean;
  readonly goodSinceRaise: boolean;
  readonly doubtful: boolean;
  readonly doubtfulByLargeEffect: boolean;
  /** Whether the old version has enough answers for a comparison on some measure. */
  readonly comparable: boolean;
}

/** Judges one route, or all routes together. Without comparable evidence there is no verdict. */
const judgeScope = (
  scope: string,
  evidence: ScopeEvidence | undefined,
  falseAlarmProbability: number,
  moveSeconds: number,
): ScopeJudgement => {
  let result: ScopeJudgement = {
    suspicion: 0,
    good: true,
    goodSinceRaise: true,
    doubtful: false,
    doubtfulByLargeEffect: false,
    comparable: false,
  };
  for (const measure of evidence === undefined ? [] : measures) {
    const judgement =
      evidence === undefined
        ? undefined
        : judgeMeasure(measure, evidence, falseAlarmProbability / measures.length, moveSeconds);
    if (judgement === undefined) {
      continue;
    }
    const suspicion = Math.max(result.suspicion, judgement.suspicion);
    const bad = result.bad ?? (judgement.suspicion >= 1 ? `${measure.name} ${scope}` : undefined);
    result = {
      ...(bad === undefined ? {} : { bad }),
      suspicion,
      good: result.good && judgement.good,
      goodSinceRaise: result.goodSinceRaise && judgement.goodSinceRaise,
      doubtful: result.doubtful || judgement.ratio > 0,
      doubtfulByLargeEffect: result.doubtfulByLargeEffect || judgement.largeEffectRatio > 0,
      comparable: true,
    };
  }
  return result.comparable ? result : { ...result, good: false, goodSinceRaise: false };
};

const evidenceForScope = (
  evidence: JudgedEvidence,
  select: (table: EvidenceTable, version: VersionId) => VersionEvidence | undefined,
): ScopeEvidence | undefined => {
  const old = select(evidence.total, evidence.fromVersion);
  return old === undefined
    ? undefined
    : {
        old,
        total: select(evidence.total, evidence.toVersion),
        sinceRaise: select(evidence.sinceRaise, evidence.toVersion),
        recent: evidence.recent.map((table) => ({
          newEvidence: select(table, evidence.toVersion),
          old: select(table, evidence.fromVersion),
        })),
      };
};

/**
 * Compares the new version with the old one, over all routes and on each route. The allowed
 * probability of a false alarm is divided: half goes to the tests over all routes, the other half
 * equally to the single routes.
 */
export const judgeVersion = (evidence: JudgedEvidence): Judgement => {
  const { moveSeconds, total } = evidence;
  const overall = judgeScope(
    'over all routes',
    evidenceForScope(evidence, evidenceOverall),
    moveFalseAlarmProbability / 2,
    moveSeconds,
  );
  const routes = routesOf(total);
  const undecidedRoutes: string[] = [];
  const doubtfulRoutes: string[] = [];
  let { bad, suspicion } = overall;
  for (const route of routes) {
    const judgement = judgeScope(
      `on route ${route}`,
      evidenceForScope(evidence, (table, version) => evidenceOnRoute(table, version, route)),
      moveFalseAlarmProbability / 2 / routes.length,
      moveSeconds,
    );
    bad ??= judgement.bad;
    suspicion = Math.max(suspicion, judgement.suspicion);
    if (!judgement.good) {
      undecidedRoutes.push(route);
    }
    if (judgement.doubtful) {
      doubtfulRoutes.push(route);
    }
  }
  return {
    ...(bad === undefined ? {} : { bad }),
    suspicion,
    good: overall.good && overall.goodSinceRaise,
    doubtful: overall.doubtfulByLargeEffect || !overall.comparable,
    undecidedRoutes,
    doubtfulRoutes,
  };
};
