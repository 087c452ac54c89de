import type { Milliseconds, Move } from '@zinniagrade/types';

/**
 * Share of the traffic that goes to the new version under the naive policy: it rises linearly from the
 * start of the move to its deadline. Errors are not considered, and the move is never rolled back.
 */
export const linearShare = (move: Move, wallMs: Milliseconds): number => {
  const elapsedFraction = (wallMs - move.startAt) / Math.max(1, move.deadlineAt - move.startAt);
  return Math.min(1, Math.max(0, elapsedFraction));
};
