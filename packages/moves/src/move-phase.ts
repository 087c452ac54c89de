import type { Milliseconds, Move, MoveId, NodeId } from '@zinniagrade/types';
import { createHash } from 'node:crypto';

/**
 * The write that marks a move as done is sent at least this long before the deadline, so that every
 * node knows of it before it would consider the move taken back: 3 s to spread, 0.5 s of clock
 * skew.
 */
export const doneBeforeDeadlineMs: Milliseconds = 5000;

export type MovePhase = 'waiting' | 'running' | 'done' | 'taken-back';

/** The phase of a move, derived only from the configuration and the wall clock. */
export const phaseOf = (move: Move, wallMs: Milliseconds): MovePhase => {
  if (move.state !== 'planned') {
    return move.state;
  }
  if (wallMs >= move.deadlineAt) {
    return 'taken-back';
  }
  return wallMs >= move.startAt ? 'running' : 'waiting';
};

/** 128 bits of a hash over both ids, in hexadecimal. */
export const shortHash = (move: MoveId, node: NodeId): string =>
  createHash('sha256')
    .update(JSON.stringify([move, node]))
    .digest('hex')
    .slice(0, 32);

/** Chooses the coordinator of a move among the given nodes by rendezvous hashing. */
export const coordinatorOf = (move: MoveId, nodes: readonly NodeId[]): NodeId | undefined => {
  let best: { readonly node: NodeId; readonly weight: string } | undefined;
  for (const node of nodes) {
    const weight = shortHash(move, node);
    if (best === undefined || weight > best.weight) {
      best = { node, weight };
    }
  }
  return best?.node;
};
