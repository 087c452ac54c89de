import { addEvidence, evidenceOverall, judgeVersion, type EvidenceTable } from '@zinniagrade/moves';
import type { VersionEvidence } from '@zinniagrade/types';
import type { FleetMember } from './fleet.js';

/** An order to move the traffic of a service to another version. */
export interface Rollout {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

export type RolloutState = 'running' | 'completed' | 'rolled-back';

/** What one node has seen of a rollout. Counts are since the rollout began. */
export interface RolloutReport {
  readonly target: string;
  /** Time since the node read the order; nodes that start later learn it from the others. */
  readonly elapsedMs: number;
  /** Why the new version is bad, once a node has found so. */
  readonly bad?: string | undefined;
  readonly evidence: readonly VersionEvidence[];
}

/** What follows from all reports. */
export interface RolloutDecision {
  /** Share of new requests that go to the new version, 0 to 1. */
  readonly share: number;
  /** Why the new version is bad; undefined while it isn't. */
  readonly bad?: string | undefined;
  /** Whether no more time is left for the old version. */
  readonly isDue: boolean;
  /** Whether the rollout is taken back because too little was seen of the new version. */
  readonly isTooLate: boolean;
  /** Largest test ratio relative to its bound; 1 is the verdict bad. */
  readonly suspicion: number;
  readonly newAnswers: number;
}

interface Step {
  readonly share: number;
  /** Part of the time at which the step is left, if nothing speaks against the version. */
  readonly until: number;
}

/**
 * A bad version shows itself while it has a small share. Old streams need the last part to move, and
 * nodes read the order up to two seconds after its time began.
 */
const steps: readonly Step[] = [
  { share: 0.06, until: 0.28 },
  { share: 0.2, until: 0.38 },
  { share: 0.5, until: 0.48 },
];
/** Answers of the new version without which its share isn't raised. */
const minNewAnswers = 4;
/** Above this ratio the share isn't raised. */
const maxSuspicion = 0.5;
/** Part of the time after which the old version is given up also where it has requests left. */
const dueAt = 0.78;
/** Part of the time after which a version that isn't trusted yet is taken back. */
const tooLateAt = 0.72;
const secondMs = 1000;

const answersOf = (table: EvidenceTable, version: string): number => {
  const sum = evidenceOverall(table, version);
  return sum === undefined ? 0 : sum.succeeded + sum.failed;
};

/**
 * Load pattern: a new version that fails or slows down, at once, later or on one route only, under
 * an order that has to end within seconds. All nodes exchange their counts and decide alike, so that
 * no node has to be asked for a share.
 */
export const decideRollout = (
  rollout: Rollout,
  oldVersion: string,
  reports: readonly RolloutReport[],
): RolloutDecision => {
  let elapsedMs = 0;
  let bad: string | undefined;
  const evidence: VersionEvidence[] = [];
  for (const report of reports) {
    if (report.target === rollout.target) {
      elapsedMs = Math.max(elapsedMs, report.elapsedMs);
      bad ??= report.bad;
      evidence.push(...report.evidence);
    }
  }
  const total = addEvidence({}, evidence);
  const judgement = judgeVersion({
    fromVersion: oldVersion,
    toVersion: rollout.target,
    total,
    sinceRaise: total,
    recent: [total],
    moveSeconds: rollout.durationMs / secondMs,
  });
  bad ??= judgement.bad;
  const newAnswers = answersOf(total, rollout.target);
  const part = elapsedMs / Math.max(1, rollout.durationMs);
  const trusted =
    bad === undefined && newAnswers >= minNewAnswers && judgement.suspicion <= maxSuspicion;
  const step = steps.find(({ until }) => part < until);
  const share = bad !== undefined ? 0 : trusted ? (step?.share ?? 1) : (steps[0]?.share ?? 0);
  return {
    share,
    bad,
    isDue: share === 1 && part >= dueAt,
    isTooLate: share < 1 && part >= tooLateAt,
    suspicion: judgement.suspicion,
    newAnswers,
  };
};

/** The version that most upstreams other than the new ones have. */
export const oldVersionOf = (
  members: readonly FleetMember[],
  target: string,
): string | undefined => {
  const counts = new Map<string, number>();
  let most: string | undefined;
  for (const { upstream } of members) {
    if (upstream.version !== target) {
      const count = (counts.get(upstream.version) ?? 0) + 1;
      counts.set(upstream.version, count);
      if (most === undefined || count > (counts.get(most) ?? 0)) {
        most = upstream.version;
      }
    }
  }
  return most;
};
