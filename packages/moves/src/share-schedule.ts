import type { Milliseconds, Move } from '@zinniagrade/types';
import { doneBeforeDeadlineMs } from './move-phase.js';

/** Successive shares of the new version in a move. */
export const shareSteps: readonly number[] = [0.05, 0.1, 0.25, 0.5, 1];

/**
 * Fraction of the usable time after which each step may end. The first step is the longest, as a
 * fault that is found at the smallest share affects the fewest requests.
 */
const stepEndFractions: readonly number[] = [0.4, 0.55, 0.68, 0.79, 0.9];
/**
 * Time reserved before the latest time of the final write, for a slow store or a new coordinator.
 */
const commitReserveMs: Milliseconds = 3000;
/**
 * Minimum time at a step; by then the reports of one full interval at the new share have arrived.
 */
export const minStepMs: Milliseconds = 2000;
/** Fraction of the usable time after which routes with too few answers no longer delay the move. */
const routeWaitFraction = 0.6;

const usableMs = (move: Move): Milliseconds =>
  Math.max(0, move.deadlineAt - doneBeforeDeadlineMs - commitReserveMs - move.startAt);

/** Wall clock time from which the share may be raised above a step. */
export const stepEndsAt = (move: Move, step: number): Milliseconds =>
  move.startAt + usableMs(move) * (stepEndFractions[step] ?? 1);

/** Wall clock time until which the move waits for a verdict on every route. */
export const routeWaitEndsAt = (move: Move): Milliseconds =>
  move.startAt + usableMs(move) * routeWaitFraction;

/** The highest step whose share does not exceed the given one; the first step if there is none. */
export const stepForShare = (share: number): number => {
  let step = 0;
  for (const [index, value] of shareSteps.entries()) {
    if (value <= share) {
      step = index;
    }
  }
  return step;
};
