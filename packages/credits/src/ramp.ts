import type { UpstreamUsage, LoadReport, Milliseconds, UpstreamCapacity } from '@zinniagrade/types';
import { answerWindowSize, normalLatencyFactor, slowLatencyFactor } from './constants.js';

/** Median time to first token and median time between tokens that an owner has learned for a model. */
export interface LatencyMedians {
  readonly firstTokenMs: Milliseconds;
  readonly betweenTokensMs: Milliseconds;
}

/** Present capacity of one upstream, and the evidence for it. */
export interface Ramp {
  readonly slots: number;
  /** Completions at normal speed since the present capacity was set. */
  readonly normalCompletions: number;
  readonly recentAnswers: readonly AnswerQuality[];
  readonly report?: LoadReport;
  /**
   * Part of the upstream's memory that is granted; may exceed 1 while batches use less than
   * estimated.
   */
  readonly memoryShare: number;
  readonly memoryShareChangedAt: Milliseconds;
}

type AnswerQuality = 'good' | 'slow' | 'failed';

export interface RampLimits {
  readonly full: UpstreamCapacity;
  readonly coldSlots: number;
}

// The latency targets, used until the first answers give learned medians.
export const initialLatencyMedians: LatencyMedians = { firstTokenMs: 800, betweenTokensMs: 68 };
const failedAnswersToTurnCold = 3;
const slowAnswersToTurnCold = 6;
/** Latencies up to these values never count as slow. */
const minSlowLatency: LatencyMedians = { firstTokenMs: 1600, betweenTokensMs: 100 };

/**
 * The granted share of the memory falls by a tenth on a preemption and grows by 0.2% a second
 * otherwise, so that an engine at its limit preempts about once in 50 s.
 */
const initialMemoryShare = 0.9;
const memoryShareBounds = { lowest: 0.5, highest: 1.3 };
const memoryShareFactors = { onPreemption: 0.9, withoutPreemption: 1.002 };
const memoryShareIntervalMs = 1000;
/** The granted share does not grow while this part of the memory, or more, is in use. */
const maxUsedPartForGrowth = 0.9;

export const Ramp = {
  create: (slots: number): Ramp => ({
    slots,
    normalCompletions: 0,
    recentAnswers: [],
    memoryShare: initialMemoryShare,
    memoryShareChangedAt: Number.NEGATIVE_INFINITY,
  }),
};

export const isFullyRamped = (ramp: Ramp, limits: RampLimits): boolean =>
  ramp.slots >= limits.full.slots;

/** Resets an upstream to its cold-start capacity. */
export const resetToCold = (ramp: Ramp, limits: RampLimits): Ramp => ({
  ...ramp,
  slots: Math.min(limits.coldSlots, limits.full.slots),
  normalCompletions: 0,
  recentAnswers: [],
});

const isSlow = (evidence: UpstreamUsage, medians: LatencyMedians, factor: number): boolean =>
  (evidence.firstTokenMs ?? 0) >
    Math.max(minSlowLatency.firstTokenMs, factor * medians.firstTokenMs) ||
  (evidence.betweenTokensMs ?? 0) >
    Math.max(minSlowLatency.betweenTokensMs, factor * medians.betweenTokensMs);

const countAnswers = (answers: readonly AnswerQuality[], kind: AnswerQuality): number =>
  answers.filter((answer) => answer === kind).length;

/** Applies the counts of one node. Slow streams without a completion count as one slow answer. */
export const applyEvidence = (
  ramp: Ramp,
  limits: RampLimits,
  evidence: UpstreamUsage,
  medians: LatencyMedians,
): Ramp => {
  const slow = isSlow(evidence, medians, slowLatencyFactor);
  const ended = Math.min(answerWindowSize, evidence.completed);
  const answers: AnswerQuality[] = [
    ...Array.from({ length: slow ? Math.max(1, ended) : ended }, () =>
      slow ? ('slow' as const) : ('good' as const),
    ),
    ...Array.from({ length: Math.min(answerWindowSize, evidence.failed) }, () => 'failed' as const),
  ];
  const recentAnswers = [...ramp.recentAnswers, ...answers].slice(-answerWindowSize);
  if (
    countAnswers(recentAnswers, 'failed') >= failedAnswersToTurnCold ||
    countAnswers(recentAnswers, 'slow') >= slowAnswersToTurnCold
  ) {
    return resetToCold(ramp, limits);
  }
  if (isFullyRamped(ramp, limits)) {
    return { ...ramp, recentAnswers };
  }
  if (evidence.failed > 0) {
    return { ...resetToCold(ramp, limits), recentAnswers };
  }
  const isNormalSpeed = !isSlow(evidence, medians, normalLatencyFactor);
  const normalCompletions = ramp.normalCompletions + (isNormalSpeed ? evidence.completed : 0);
  // An upstream that reports itself as cold keeps its cold capacity, however many requests it completes.
  if (ramp.report?.warm !== true) {
    return { ...ramp, recentAnswers, normalCompletions: 0 };
  }
  return normalCompletions >= ramp.slots
    ? {
        ...ramp,
        recentAnswers,
        slots: Math.min(limits.full.slots, ramp.slots * 2),
        normalCompletions: 0,
      }
    : { ...ramp, recentAnswers, normalCompletions };
};

const adaptMemoryShare = (ramp: Ramp, report: LoadReport, now: Milliseconds): Ramp => {
  const previous = ramp.report;
  if (previous === undefined || now - ramp.memoryShareChangedAt < memoryShareIntervalMs) {
    return ramp;
  }
  const used = report.memoryTokensUsed / Math.max(1, report.memoryTokensTotal);
  const factor =
    report.preemptions > previous.preemptions
      ? memoryShareFactors.onPreemption
      : used < maxUsedPartForGrowth
        ? memoryShareFactors.withoutPreemption
        : 1;
  const share = Math.min(
    memoryShareBounds.highest,
    Math.max(memoryShareBounds.lowest, ramp.memoryShare * factor),
  );
  return factor === 1 ? ramp : { ...ramp, memoryShare: share, memoryShareChangedAt: now };
};

/** Applies a load report. Ignores one that is older than the last, unless the upstream has restarted. */
export const applyReport = (
  ramp: Ramp,
  limits: RampLimits,
  report: LoadReport,
  now: Milliseconds,
): Ramp => {
  const previous = ramp.report;
  const restarted =
    previous !== undefined && report.sequence < previous.sequence && report.at >= previous.at;
  if (previous !== undefined && !restarted && report.sequence <= previous.sequence) {
    return ramp;
  }
  const next = { ...adaptMemoryShare(ramp, report, now), report };
  return restarted || !report.warm ? resetToCold(next, limits) : next;
};
