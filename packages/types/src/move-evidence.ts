import type { Incarnation, Milliseconds, MoveId, ServiceId, VersionId } from './ids.js';

/**
 * Counts of one version on one route (service and operation) over a period. Each answer is counted
 * once in each histogram: with its time to the first token and with its mean time between tokens.
 */
export interface VersionEvidence {
  readonly version: VersionId;
  readonly service: ServiceId;
  readonly route: string;
  readonly succeeded: number;
  readonly failed: number;
  /** Counts per bucket of `firstTokenBucketBoundsMs`; one more than there are bounds. */
  readonly firstTokenCounts: readonly number[];
  /** Counts per bucket of `betweenTokensBucketBoundsMs`; one more than there are bounds. */
  readonly betweenTokensCounts: readonly number[];
}

export const firstTokenBucketBoundsMs: readonly number[] = [
  50, 100, 200, 400, 800, 1600, 3200, 6400,
];
export const betweenTokensBucketBoundsMs: readonly number[] = [10, 20, 34, 68, 136, 272, 544, 1088];

/** Share of a service's new work that goes to the new version until the grant expires. */
export interface MoveShare {
  readonly move: MoveId;
  /** Between 0 and 1. */
  readonly share: number;
  /** Raised with each decision of one coordinator; a share with a lower number is out of date. */
  readonly sequence: number;
  readonly coordinator: string;
  readonly validMs: number;
  /** The receiver's report; `validMs` counts from its sending, on the receiver's own clock. */
  readonly reportSequence?: number;
  /**
   * Why the new version was judged bad. The share is then 0 and the receiver stops taking part in
   * the move.
   */
  readonly bad?: string;
}

/** Counts of one second. */
export interface PerSecondEvidence {
  /** The node's monotonic clock in whole seconds. */
  readonly second: number;
  readonly evidence: readonly VersionEvidence[];
}

/**
 * Everything that one process has observed of a move. The counts are cumulative from the start of
 * the move, so that reports are idempotent and a new coordinator knows what the previous one knew.
 */
export interface MoveReport {
  readonly move: MoveId;
  readonly incarnation: Incarnation;
  readonly sequence: number;
  /** The coordinator that this node reports to and the sequence of the last grant from it. */
  readonly coordinator: string;
  readonly grantSequence: number;
  /** Set if an answer since the last report is statistical evidence against the new version. */
  readonly urgent?: boolean;
  /** Highest sequence and share received from any coordinator; 0 if none was received. */
  readonly heardSequence: number;
  readonly heardShare: number;
  /** Set once the node has been notified that the new version is bad. */
  readonly bad?: string;
  readonly evidence: readonly VersionEvidence[];
  /** Time of sending on the node's monotonic clock, to which `seconds` relate. */
  readonly at: Milliseconds;
  /**
   * The last seconds that had answers, to detect faults that begin late in a move: those since the
   * last report that the coordinator has acknowledged or, if `whole` is set, all seconds that the
   * node keeps. The counts of a second replace earlier ones for the same second.
   */
  readonly seconds: readonly PerSecondEvidence[];
  /**
   * True if `seconds` holds all that the node keeps, which it sends while it has no valid share.
   */
  readonly whole: boolean;
}
