import { addEvidence, evidenceOverall, judgeVersion, type EvidenceTable } from '@zinniagrade/moves';
import type { VersionEvidence } from '@zinniagrade/types';
import type { FleetMember } from './fleet.js';

/** An operator's order to move the traffic of a service to the version `target`. */
export interface Rollout {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

export type RolloutState = 'running' | 'completed' | 'rolled-back';

/** Evidence of one node about a rollout. Counts start when the rollout begins. */
export interface RolloutReport {
  readonly target: string;
  /** Time since the node read the order; the largest value of all nodes counts. */
  readonly elapsedMs: number;
  /** Why the new version is bad, if the node knows of such a verdict. */
  readonly bad?: string | undefined;
  /** Requests that the node sent to the new version; undefined if not all of them are known. */
  readonly newSends?: number | undefined;
  readonly evidence: readonly VersionEvidence[];
}

/** Decision that follows from the reports of all nodes. */
export interface RolloutDecision {
  /** Share of new requests that go to the new version, 0 to 1. */
  readonly share: number;
  /** Why the new version is bad; undefined without such a verdict. */
  readonly bad?: string | undefined;
  /** Whether the rollout completes now, even if the old version still has requests in flight. */
  readonly mustComplete: boolean;
  /**
   * Whether the rollout is rolled back because the new version was not shown to be good in time.
   */
  readonly isTooLate: boolean;
  /** Largest test statistic relative to its bound; from 1 on, the version is bad. */
  readonly suspicion: number;
  /** Number of responses of the new version that have ended. */
  readonly newAnswers: number;
}

interface RolloutStep {
  readonly share: number;
  /** Share of the rollout time from which the step is taken, if the evidence allows it. */
  readonly fromElapsedShare: number;
  /** Number of responses of the new version, open or ended, from which the step is taken. */
  readonly minResponses: number;
}

/**
 * Share of the first requests, up to `firstSends` of them. On a quiet service 6% of the requests
 * are too few to judge a version by before the rollout time is over.
 */
const firstSendsShare = 0.2;
const firstSends = 16;
/** Share from then on until the version is trusted. */
const firstShare = 0.06;
/**
 * The first step is the longest, so that a bad version is found while its share is small. The last
 * part of the time is left for moving the streams of the old version; nodes may also read the order
 * up to two seconds after the rollout time began. On a quiet service the number of responses delays
 * the steps: a version that fails half of its requests has failed two of eight in 96% of cases.
 */
const laterSteps: readonly RolloutStep[] = [
  { share: 0.2, fromElapsedShare: 0.28, minResponses: 4 },
  { share: 0.5, fromElapsedShare: 0.38, minResponses: 6 },
  { share: 1, fromElapsedShare: 0.48, minResponses: 8 },
];
/** Whether a response fails is known only when it has ended. */
const minEnded = 4;
/** The share is not raised while the suspicion is above this. */
const maxSuspicion = 0.5;
/**
 * Share of the time after which the rollout completes even if the old version has requests left.
 */
const completeAtElapsedShare = 0.78;
/** Share of the time after which a version that is not trusted yet is rolled back. */
const rollBackAtElapsedShare = 0.72;
const secondMs = 1000;

interface ResponseCounts {
  /** Responses that have ended. */
  readonly ended: number;
  /** Responses whose time to the first event is known, many of which are open. */
  readonly begun: number;
}

const countResponses = (table: EvidenceTable, version: string): ResponseCounts => {
  const total = evidenceOverall(table, version);
  let begun = 0;
  for (const count of total?.firstTokenCounts ?? []) {
    begun += count;
  }
  return { ended: (total?.succeeded ?? 0) + (total?.failed ?? 0), begun };
};

/** The largest share that both the elapsed time and the number of responses allow. */
const stepShare = (elapsedShare: number, { ended, begun }: ResponseCounts): number => {
  let share = firstShare;
  const known = Math.max(ended, begun);
  for (const step of laterSteps) {
    const isDue = elapsedShare >= step.fromElapsedShare;
    if (!isDue || ended < minEnded || known < step.minResponses) {
      break;
    }
    share = step.share;
  }
  return share;
};

/**
 * Decides the share of a new version from the reports of all nodes.
 *
 * This is for a new version that fails or is slow, from the start, later or only on one route, in
 * a rollout that has to end within seconds. All nodes exchange their counts and compute the same
 * decision, so no node depends on another one to grant a share.
 */
export const decideRollout = (
  rollout: Rollout,
  oldVersion: string,
  reports: readonly RolloutReport[],
): RolloutDecision => {
  let elapsedMs = 0;
  let bad: string | undefined;
  let newSends = 0;
  const evidence: VersionEvidence[] = [];
  for (const report of reports) {
    if (report.target === rollout.target) {
      elapsedMs = Math.max(elapsedMs, report.elapsedMs);
      bad ??= report.bad;
      newSends += report.newSends ?? firstSends;
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
  const newResponses = countResponses(total, rollout.target);
  const elapsedShare = elapsedMs / Math.max(1, rollout.durationMs);
  // A few responses can't reach half of the bound of a verdict, however bad they are; `doubtful`
  // tells whether they speak for the version or against it.
  const isTrusted = bad === undefined && !judgement.doubtful && judgement.suspicion <= maxSuspicion;
  const untrustedShare = newSends < firstSends ? firstSendsShare : firstShare;
  const trustedShare = Math.max(untrustedShare, stepShare(elapsedShare, newResponses));
  const share = bad !== undefined ? 0 : isTrusted ? trustedShare : untrustedShare;
  return {
    share,
    bad,
    mustComplete: share === 1 && elapsedShare >= completeAtElapsedShare,
    isTooLate: share < 1 && elapsedShare >= rollBackAtElapsedShare,
    suspicion: judgement.suspicion,
    newAnswers: newResponses.ended,
  };
};

/** The most frequent version among upstreams that do not run the target version. */
export const oldVersionOf = (
  members: readonly FleetMember[],
  target: string,
): string | undefined => {
  const counts = new Map<string, number>();
  let mostFrequent: string | undefined;
  for (const { upstream } of members) {
    if (upstream.version !== target) {
      const count = (counts.get(upstream.version) ?? 0) + 1;
      counts.set(upstream.version, count);
      if (mostFrequent === undefined || count > (counts.get(mostFrequent) ?? 0)) {
        mostFrequent = upstream.version;
      }
    }
  }
  return mostFrequent;
};
