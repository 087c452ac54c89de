import { type MovePhase, phaseOf } from '@zinniagrade/moves';
import type { Milliseconds, Move, MoveId, Revision } from '@zinniagrade/types';
import type { CachedConfiguration } from './configuration-cache.js';

/** The phase of a move as reported to operators. */
export interface MoveEvent {
  readonly move: Move;
  readonly phase: MovePhase;
  readonly revision: Revision;
}

/**
 * Reports only a phase that is certain. A move past its deadline is reported as taken back only if
 * the store confirmed the configuration after the deadline: while the store is down, the move may
 * have been completed in time by a write that this process has not seen.
 */
export const toMoveEvent = (
  move: Move,
  { configuration, confirmedAtWall }: CachedConfiguration,
  wallMs: Milliseconds,
): MoveEvent => {
  const { revision } = configuration;
  const phase = phaseOf(move, wallMs);
  if (phase !== 'taken-back' || move.state !== 'planned') {
    return { move, phase, revision };
  }
  return (confirmedAtWall ?? -Infinity) >= move.deadlineAt
    ? {
        move: { ...move, state: 'taken-back', reason: 'not done by its deadline' },
        phase,
        revision,
      }
    : { move, phase: 'running', revision };
};

export const hasEnded = (phase: MovePhase): boolean => phase === 'done' || phase === 'taken-back';

/**
 * Events for the moves whose phase differs from the one last reported; all moves if `ids` is empty.
 */
export const changedMoveEvents = (
  cached: CachedConfiguration,
  ids: readonly MoveId[],
  reportedPhases: ReadonlyMap<MoveId, MovePhase>,
  wallMs: Milliseconds,
): readonly MoveEvent[] =>
  Object.values(cached.configuration.moves)
    .filter(({ id }) => ids.length === 0 || ids.includes(id))
    .map((move) => toMoveEvent(move, cached, wallMs))
    .filter(({ move, phase }) => reportedPhases.get(move.id) !== phase);
