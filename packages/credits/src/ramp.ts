import type { UpstreamUsage, LoadReport, Milliseconds, UpstreamCapacity } from '@zinniagrade/types';
import { answerWindow, normalFactor, slowFactor } from './constants.js';

/** Median first-token time and time between tokens that an owner has learned for a model. */
export interface NormalTimes {
  readonly firstTokenMs: Milliseconds;
  readonly betweenTokensMs: Milliseconds;
}

/** What one upstream bears at present, and the evidence for it. */
export interface Ramp {
  readonly slots: number;
  /** Completions at normal speed since the present capacity was set. */
  readonly evidence: number;
  /** The last answers, true for a failed or slow one. */
  readonly recent: readonly Answer[];
  readonly report?: LoadReport;
  /** Part of the upstream's memory that is given out; above 1 when batches stay below estimates. */
  readonly memoryShare: number;
  readonly memoryShareChangedAt: Milliseconds;
}

type Answer = 'good' | 'slow' | 'failed';

export interface RampLimits {
  readonly full: UpstreamCapacity;
  readonly coldSlots: number;
}

// Nothing is known before the first answers: the latency targets stand in for the learned medians.
export const firstNormalTimes: NormalTimes = { firstTokenMs: 800, betweenTokensMs: 68 };
const failedToTurnCold = 3;
const slowToTurnCold = 6;
/** Slow answers below these times never mean that an upstream is cold. */
const neverSlow: NormalTimes = { firstTokenMs: 1600, betweenTokensMs: 100 };

/**
 * The share of the memory that is given out falls by a tenth at a preemption and grows by 0.2% a second
 * without one, so that an engine preempts about once in 50 s at its limit.
 */
const startMemoryShare = 0.9;
const memoryShareBounds = { lowest: 0.5, highest: 1.3 };
const memoryShareFactors = { preempted: 0.9, grows: 1.002 };
const memoryShareStepMs = 1000;
/** The share does not grow while more than this part of the memory is in use. */
const usedAtMost = 0.9;

export const Ramp = {
  create: (slots: number): Ramp => ({
    slots,
    evidence: 0,
    recent: [],
    memoryShare: startMemoryShare,
    memoryShareChangedAt: Number.NEGATIVE_INFINITY,
  }),
};

export const isFull = (ramp: Ramp, limits: RampLimits): boolean => ramp.slots >= limits.full.slots;

/** Puts an upstream back to what it bears in cold start. */
export const turnCold = (ramp: Ramp, limits: RampLimits): Ramp => ({
  ...ramp,
  slots: Math.min(limits.coldSlots, limits.full.slots),
  evidence: 0,
  recent: [],
});

const isSlow = (evidence: UpstreamUsage, normal: NormalTimes, factor: number): boolean =>
  (evidence.firstTokenMs ?? 0) > Math.max(neverSlow.firstTokenMs, factor * normal.firstTokenMs) ||
  (evidence.betweenTokensMs ?? 0) >
    Math.max(neverSlow.betweenTokensMs, factor * normal.betweenTokensMs);

const count = (answers: readonly Answer[], kind: Answer): number =>
  answers.filter((answer) => answer === kind).length;

/** Takes in one node's counts. A report of slow running streams counts as one slow answer. */
export const takeEvidence = (
  ramp: Ramp,
  limits: RampLimits,
  evidence: UpstreamUsage,
  normal: NormalTimes,
): Ramp => {
  const slow = isSlow(evidence, normal, slowFactor);
  const ended = Math.min(answerWindow, evidence.completed);
  const answers: Answer[] = [
    ...Array.from({ length: slow ? Math.max(1, ended) : ended }, () =>
      slow ? ('slow' as const) : ('good' as const),
    ),
    ...Array.from({ length: Math.min(answerWindow, evidence.failed) }, () => 'failed' as const),
  ];
  const recent = [...ramp.recent, ...answers].slice(-answerWindow);
  if (count(recent, 'failed') >= failedToTurnCold || count(recent, 'slow') >= slowToTurnCold) {
    return turnCold(ramp, limits);
  }
  if (isFull(ramp, limits)) {
    return { ...ramp, recent };
  }
  if (evidence.failed > 0) {
    return { ...turnCold(ramp, limits), recent };
  }
  const normalSpeed = !isSlow(evidence, normal, normalFactor);
  const gained = ramp.evidence + (normalSpeed ? evidence.completed : 0);
  // An upstream that calls itself cold stays at its cold capacity, whatever it has completed.
  if (ramp.report?.warm !== true) {
    return { ...ramp, recent, evidence: 0 };
  }
  return gained >= ramp.slots
    ? { ...ramp, recent, slots: Math.min(limits.full.slots, ramp.slots * 2), evidence: 0 }
    : { ...ramp, recent, evidence: gained };
};

const adaptMemoryShare = (ramp: Ramp, report: LoadReport, now: Milliseconds): Ramp => {
  const before = ramp.report;
  if (before === undefined || now - ramp.memoryShareChangedAt < memoryShareStepMs) {
    return ramp;
  }
  const used = report.memoryTokensUsed / Math.max(1, report.memoryTokensTotal);
  const factor =
    report.preemptions > before.preemptions
      ? memoryShareFactors.preempted
      : used < usedAtMost
        ? memoryShareFactors.grows
        : 1;
  const share = Math.min(
    memoryShareBounds.highest,
    Math.max(memoryShareBounds.lowest, ramp.memoryShare * factor),
  );
  return factor === 1 ? ramp : { ...ramp, memoryShare: share, memoryShareChangedAt: now };
};

/** Takes in a load report; an older one than the last is ignored unless the upstream restarted. */
export const takeReport = (
  ramp: Ramp,
  limits: RampLimits,
  report: LoadReport,
  now: Milliseconds,
): Ramp => {
  const last = ramp.report;
  const restarted = last !== undefined && report.sequence < last.sequence && report.at >= last.at;
  if (last !== undefined && !restarted && report.sequence <= last.sequence) {
    return ramp;
  }
  const next = { ...adaptMemoryShare(ramp, report, now), report };
  return restarted || !report.warm ? turnCold(next, limits) : next;
};
