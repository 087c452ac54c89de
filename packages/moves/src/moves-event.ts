import type {
  ChangeSet,
  Milliseconds,
  Move,
  MoveId,
  MoveReport,
  MoveShare,
  NodeId,
  NodeMessage,
  TimelineEvent,
  VersionEvidence,
} from '@zinniagrade/types';

/** Inputs of the state machine for moves. */
export type MovesEvent =
  | { readonly kind: 'configuration'; readonly moves: Readonly<Record<MoveId, Move>> }
  /** All nodes that are not gone, including this one, and those of them that are leaving. */
  | {
      readonly kind: 'members';
      readonly nodes: readonly NodeId[];
      readonly leaving: readonly NodeId[];
    }
  | { readonly kind: 'outcomes'; readonly evidence: readonly VersionEvidence[] }
  | {
      readonly kind: 'reports-received';
      readonly from: NodeId;
      readonly reports: readonly MoveReport[];
    }
  | {
      readonly kind: 'grants-received';
      readonly from: NodeId;
      readonly shares: readonly MoveShare[];
    }
  | { readonly kind: 'tick' };

/** Effects that the caller of `Moves.step` has to carry out. */
export type MovesAction =
  | { readonly kind: 'send'; readonly to: NodeId; readonly message: NodeMessage }
  /** Commit on top of any revision; the result is learned from the next configuration. */
  | {
      readonly kind: 'commit';
      readonly changeSet: ChangeSet;
      /** Wall clock time after which the write must not be sent. */
      readonly notAfterWallMs?: Milliseconds;
    }
  | {
      readonly kind: 'timeline';
      readonly name: string;
      readonly fields: TimelineEvent['fields'];
    };
