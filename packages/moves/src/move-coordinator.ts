import type { Milliseconds, MoveReport, NodeId } from '@zinniagrade/types';
import {
  type CoordinatedMove as State,
  type CoordinatorStep,
  createCoordinatedMove,
  type MoveTime,
} from './coordinated-move.js';
import { type EvidenceTable, subtractEvidence } from './evidence.js';
import { pastRanges, recentWindows, type SecondCounts } from './evidence-seconds.js';
import { grantLifetimeMs, grantShares } from './grant-shares.js';
import { judgeVersion, type Judgement } from './judge-version.js';
import { doneBeforeDeadlineMs, phaseOf } from './move-phase.js';
import {
  coveredUntil,
  latestReportOf,
  sumReports,
  sumSeconds,
  withReport,
} from './move-reports.js';
import {
  minStepMs,
  shareSteps,
  stepEndsAt,
  stepForShare,
  routeWaitEndsAt,
} from './share-schedule.js';

/** Longest time that counts take to reach the coordinator. */
const reportLagSeconds = 2;
const commitRetryIntervalMs: Milliseconds = 1000;
/**
 * How often reports are judged if none of them has an answer that counts against the new version.
 */
const usualJudgementIntervalMs: Milliseconds = 500;
/**
 * A version with at least this suspicion counts as bad when a coordinator begins, or resumes after
 * a pause. At a change of coordinator the evidence from the answers of the previous one is lost,
 * and so may be its verdict if no node has received it. After a pause, a verdict may not have been
 * reached.
 */
const maxSuspicionAtBegin = 0.65;
/** Maximum age of the evidence of each node when a coordinator begins or resumes. */
const maxEvidenceAgeMs: Milliseconds = 2000;

const receiveReport = (state: State, from: NodeId, report: MoveReport, now: MoveTime): State => {
  const reports = withReport(state.reports, from, report, state.sentGrants, now.monotonicMs);
  const kind = report.urgent === true || report.bad !== undefined ? 'urgent' : 'usual';
  return {
    ...state,
    reports,
    unjudged: reports === state.reports || state.unjudged === 'urgent' ? state.unjudged : kind,
    // Continues above the sequence of any earlier coordinator, so that nodes can order the grants.
    sequence: Math.max(state.sequence, report.heardSequence),
  };
};

const reportedBadReason = (state: State): string | undefined => {
  for (const { report } of Object.values(state.reports)) {
    if (report.bad !== undefined) {
      return report.bad;
    }
  }
  return undefined;
};

const judge = (
  state: State,
  windows?: (seconds: readonly SecondCounts[]) => readonly EvidenceTable[],
): Judgement => {
  const total = sumReports(state.reports);
  const { deadlineAt, fromVersion, startAt, toVersion } = state.move;
  return judgeVersion({
    fromVersion,
    toVersion,
    total,
    sinceRaise: subtractEvidence(total, state.evidenceAtRaise),
    recent: windows?.(sumSeconds(state.reports)) ?? [],
    moveSeconds: (deadlineAt - startAt) / 1000,
  });
};

/**
 * The step of the lowest share that any node has from an earlier grant, so that a change of
 * coordinator raises no share.
 */
const inheritedStep = (state: State): number => {
  let step: number | undefined;
  for (const { report } of Object.values(state.reports)) {
    if (report.heardShare > 0) {
      const heardStep = stepForShare(report.heardShare);
      step = step === undefined ? heardStep : Math.min(step, heardStep);
    }
  }
  return step ?? 0;
};

const hadGrantedShare = (state: State): boolean =>
  Object.values(state.reports).some(({ report }) => report.heardSequence > 0);

const markBad = (state: State, reason: string): CoordinatorStep => ({
  state: { ...state, bad: reason, grantedAt: -Infinity },
  actions: [{ kind: 'found-bad', move: state.move.id, reason }],
});

/** Whether a recent report of every node is known that has the counts of all kept seconds. */
const hasCompleteEvidence = (state: State, nodes: readonly NodeId[], now: MoveTime): boolean => {
  const covered = coveredUntil(state.reports, nodes);
  return (
    covered !== undefined &&
    now.monotonicMs - covered <= maxEvidenceAgeMs &&
    nodes.every((node) => latestReportOf(state.reports, node)?.report.whole === true)
  );
};

/** Begins to grant shares, or resumes after a pause. */
const beginGranting = (state: State, nodes: readonly NodeId[], now: MoveTime): CoordinatorStep => {
  if (
    state.step !== undefined ||
    state.bad !== undefined ||
    !hasCompleteEvidence(state, nodes, now)
  ) {
    return { state, actions: [] };
  }
  const { suspicion } = judge(state, (seconds) => pastRanges(seconds, state.move.toVersion));
  if (suspicion >= maxSuspicionAtBegin && hadGrantedShare(state)) {
    return markBad(state, 'close to a bad verdict at a change of coordinator or after a pause');
  }
  const begun = {
    ...state,
    step: inheritedStep(state),
    stepStartedAt: now.monotonicMs,
    evidenceAtRaise: sumReports(state.reports),
  };
  return { state: begun, actions: [] };
};

/** Pauses granting once all shares have lapsed for lack of evidence; it has to begin again. */
const pauseIfLapsed = (state: State, nodes: readonly NodeId[], now: MoveTime): State => {
  const granted = nodes.filter(
    (node) => latestReportOf(state.reports, node)?.coversUntil !== undefined,
  );
  const covered = coveredUntil(state.reports, granted);
  const hasLapsed = covered === undefined || now.monotonicMs >= covered + grantLifetimeMs;
  return state.step !== undefined && hasLapsed ? { ...state, step: undefined } : state;
};

const mayRaise = (state: State, step: number, nodes: readonly NodeId[], now: MoveTime): boolean => {
  const { judgement, move } = state;
  const covered = coveredUntil(state.reports, nodes);
  if (
    judgement?.good !== true ||
    covered === undefined ||
    now.monotonicMs - covered > grantLifetimeMs ||
    now.monotonicMs - state.stepStartedAt < minStepMs ||
    now.wallMs < stepEndsAt(move, step)
  ) {
    return false;
  }
  return now.wallMs < routeWaitEndsAt(move)
    ? judgement.undecidedRoutes.length === 0
    : judgement.doubtfulRoutes.length === 0;
};

const commitDone = (state: State, now: MoveTime): CoordinatorStep => {
  const notAfterWallMs = state.move.deadlineAt - doneBeforeDeadlineMs;
  if (now.wallMs > notAfterWallMs || now.monotonicMs - state.commitSentAt < commitRetryIntervalMs) {
    return { state, actions: [] };
  }
  return {
    state: { ...state, commitSentAt: now.monotonicMs },
    actions: [
      {
        kind: 'commit',
        change: {
          kind: 'end-move',
          id: state.move.id,
          outcome: 'done',
          reason: 'good on all evidence',
        },
        notAfterWallMs,
      },
    ],
  };
};

const raiseOrCommitDone = (
  state: State,
  nodes: readonly NodeId[],
  now: MoveTime,
): CoordinatorStep => {
  const { move, step } = state;
  if (step === undefined || !mayRaise(state, step, nodes, now)) {
    return { state, actions: [] };
  }
  if (step === shareSteps.length - 1) {
    return commitDone(state, now);
  }
  const share = shareSteps[step + 1] ?? 0;
  return {
    state: {
      ...state,
      step: step + 1,
      stepStartedAt: now.monotonicMs,
      evidenceAtRaise: sumReports(state.reports),
      // The last judgement was made at the lower share.
      judgement: undefined,
      grantedAt: -Infinity,
    },
    actions: [{ kind: 'raised', move: move.id, share }],
  };
};

const commitTakenBack = (state: State, reason: string, now: MoveTime): CoordinatorStep => {
  if (now.monotonicMs - state.commitSentAt < commitRetryIntervalMs) {
    return { state, actions: [] };
  }
  return {
    state: { ...state, commitSentAt: now.monotonicMs },
    actions: [
      {
        kind: 'commit',
        change: { kind: 'end-move', id: state.move.id, outcome: 'taken-back', reason },
      },
    ],
  };
};

const judgeReports = (state: State, nodes: readonly NodeId[], now: MoveTime): CoordinatorStep => {
  const badReason = state.bad === undefined ? reportedBadReason(state) : undefined;
  if (badReason !== undefined) {
    return markBad(state, badReason);
  }
  const sinceJudgementMs = now.monotonicMs - state.judgedAt;
  if (
    state.bad !== undefined ||
    state.unjudged === 'none' ||
    (state.unjudged === 'usual' && sinceJudgementMs < usualJudgementIntervalMs)
  ) {
    return { state, actions: [] };
  }
  // Windows are judged only after an urgent report: other answers move no window towards the bound.
  const judgement = judge(
    state,
    state.unjudged === 'urgent'
      ? (seconds) => recentWindows(seconds, now.monotonicMs, reportLagSeconds)
      : undefined,
  );
  const withJudgement: State = {
    ...state,
    judgement,
    unjudged: 'none',
    judgedAt: now.monotonicMs,
  };
  if (judgement.bad !== undefined) {
    return markBad(withJudgement, judgement.bad);
  }
  return beginGranting(withJudgement, nodes, now);
};

/** Judges new reports, raises the share or ends the move, and sends the grants that are due. */
const advance = (state: State, nodes: readonly NodeId[], now: MoveTime): CoordinatorStep => {
  const phase = phaseOf(state.move, now.wallMs);
  if (state.move.state !== 'planned' || phase === 'waiting') {
    return { state, actions: [] };
  }
  if (phase === 'taken-back') {
    return commitTakenBack(state, 'not done by its deadline', now);
  }
  const judged = judgeReports(pauseIfLapsed(state, nodes, now), nodes, now);
  const raised =
    judged.state.bad === undefined
      ? raiseOrCommitDone(judged.state, nodes, now)
      : commitTakenBack(judged.state, `bad: ${judged.state.bad}`, now);
  const granted = grantShares(raised.state, nodes, now);
  return {
    state: granted.state,
    actions: [...judged.actions, ...raised.actions, ...granted.actions],
  };
};

/** One move at its coordinator. */
export const CoordinatedMove = {
  create: createCoordinatedMove,
  receiveReport,
  advance,
};
export type CoordinatedMove = State;
