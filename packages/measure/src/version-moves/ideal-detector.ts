import {
  type EvidenceTable,
  evidenceOf,
  judgeVersion,
  NodeMove,
  recentWindows,
  type Outcome,
} from '@zinniagrade/moves';
import type { Milliseconds, Move } from '@zinniagrade/types';

/**
 * Decides when a version is detectably bad: applies the judgement of the `moves` package to every
 * answer of every node without delay.
 */
export interface IdealDetector {
  /** Adds an answer and returns true if the version is judged bad by all answers so far. */
  readonly detectsBadAfter: (outcome: Outcome, at: Milliseconds) => boolean;
}

export const IdealDetector = {
  create: (move: Move): IdealDetector => {
    let state = NodeMove.create(move);
    const noEvidence: EvidenceTable = {};
    return {
      detectsBadAfter: (outcome, at) => {
        state = NodeMove.withOutcomes(
          { ...state, isReportUrgent: false },
          [evidenceOf(outcome)],
          at,
        );
        // Only an answer that counts against the version can change the judgement to bad.
        if (!state.isReportUrgent) {
          return false;
        }
        const judgement = judgeVersion({
          fromVersion: move.fromVersion,
          toVersion: move.toVersion,
          total: state.total,
          sinceRaise: noEvidence,
          recent: recentWindows(state.seconds, at),
          moveSeconds: (move.deadlineAt - move.startAt) / 1000,
        });
        return judgement.bad !== undefined;
      },
    };
  },
};
