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
 * Says when a version has shown itself bad: the product's test, fed with every answer of every node
 * at once and without delay.
 */
export interface Showing {
  /** True when the version is bad by all answers up to this one. */
  readonly add: (outcome: Outcome, at: Milliseconds) => boolean;
}

export const Showing = {
  create: (move: Move): Showing => {
    let state = NodeMove.create(move);
    const nothing: EvidenceTable = {};
    return {
      add: (outcome, at) => {
        state = NodeMove.withOutcomes(
          { ...state, isReportUrgent: false },
          [evidenceOf(outcome)],
          at,
        );
        // Only an answer that counts against the version can bring about the verdict.
        if (!state.isReportUrgent) {
          return false;
        }
        const judgement = judgeVersion({
          fromVersion: move.fromVersion,
          toVersion: move.toVersion,
          total: state.total,
          sinceRaise: nothing,
          recent: recentWindows(state.seconds, at),
          moveSeconds: (move.deadlineAt - move.startAt) / 1000,
        });
        return judgement.bad !== undefined;
      },
    };
  },
};
