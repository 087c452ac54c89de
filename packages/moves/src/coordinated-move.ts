import type { Change, Milliseconds, Move, MoveShare, NodeId } from '@zinniagrade/types';
import type { EvidenceTable } from './evidence.js';
import type { Judgement } from './judge-version.js';
import type { StoredReports, SentGrant } from './move-reports.js';

export interface MoveTime {
  readonly monotonicMs: Milliseconds;
  readonly wallMs: Milliseconds;
}

/** State of a move at its coordinator. Times are on the monotonic clock of the coordinator. */
export interface CoordinatedMove {
  readonly nodeId: NodeId;
  /** When this node became the coordinator. */
  readonly startedAt: Milliseconds;
  readonly move: Move;
  readonly reports: StoredReports;
  /** The most urgent kind of report that arrived since the last judgement. */
  readonly unjudged: 'none' | 'usual' | 'urgent';
  readonly judgedAt: Milliseconds;
  readonly sentGrants: readonly SentGrant[];
  /** Sequence number of the last grant. */
  readonly sequence: number;
  /**
   * Index into `shareSteps`; undefined until the evidence of all nodes is known, and after a pause.
   */
  readonly step: number | undefined;
  readonly stepStartedAt: Milliseconds;
  /** The total counts when granting began or the share was last raised. */
  readonly evidenceAtRaise: EvidenceTable;
  readonly judgement: Judgement | undefined;
  /** Why the new version is bad, once it is judged so. */
  readonly bad?: string;
  readonly grantedAt: Milliseconds;
  readonly commitSentAt: Milliseconds;
}

export type CoordinatorAction =
  | { readonly kind: 'grant'; readonly to: NodeId; readonly share: MoveShare }
  | {
      readonly kind: 'commit';
      readonly change: Extract<Change, { kind: 'end-move' }>;
      /** Wall clock time after which the write must not be sent; without it, there is no limit. */
      readonly notAfterWallMs?: Milliseconds;
    }
  | { readonly kind: 'raised'; readonly move: string; readonly share: number }
  | { readonly kind: 'found-bad'; readonly move: string; readonly reason: string };

export interface CoordinatorStep {
  readonly state: CoordinatedMove;
  readonly actions: readonly CoordinatorAction[];
}

export const createCoordinatedMove = (
  nodeId: NodeId,
  move: Move,
  now: Milliseconds,
): CoordinatedMove => ({
  nodeId,
  startedAt: now,
  move,
  reports: {},
  unjudged: 'none',
  judgedAt: -Infinity,
  sentGrants: [],
  sequence: 0,
  step: undefined,
  stepStartedAt: 0,
  evidenceAtRaise: {},
  judgement: undefined,
  grantedAt: -Infinity,
  commitSentAt: -Infinity,
});
