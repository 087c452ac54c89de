import type { Instant } from './instant.js';

/** Who holds a subject, as the value of its store key says. */
export interface StoredHolder {
  readonly node: string;
  /** Process of the node. */
  readonly incarnation: string;
  readonly claim: string;
}

export type ClaimOutcome = 'done' | 'conflict' | 'lease-ended' | 'not-done' | 'unknown';
export type ActOutcome = 'done' | 'refused' | 'unknown' | 'not-sent';

export interface HoldingSettings {
  readonly node: string;
  readonly incarnation: string;
  readonly leaseMs: number;
}

/** The lease of all subjects of a node. */
export interface Lease {
  readonly id: string;
  /** Before the grant or the last renewal that succeeded was sent. */
  readonly renewedAt: Instant;
  readonly renewalDueMs: number;
}

/** A claim whose result is not known yet. */
export interface Claim {
  readonly id: string;
  readonly isInFlight: boolean;
  /** Time of the next attempt, if none is in flight. */
  readonly retryAtMs: number;
}

/** Removal of a key of this process that it no longer acts under. */
export interface Release {
  readonly token: number;
  readonly isInFlight: boolean;
  readonly retryAtMs: number;
}

/** What a node knows of one subject. All times are monotonic. */
export interface HeldSubject {
  readonly offered: boolean;
  /** Whether a key of any holder is known. */
  readonly isTaken: boolean;
  readonly freeSinceMs: number;
  readonly claimNotBeforeMs: number;
  readonly claim?: Claim;
  /** Fencing token while this node holds the subject. */
  readonly token?: number;
  /** Until then a call of this node may still arrive. */
  readonly actingUntilMs: number;
  /** Calls in a row that did not reach the platform. */
  readonly failures: number;
  readonly release?: Release;
  /** Latest token whose key was removed. */
  readonly releasedToken: number;
}

/** What a node knows of the subjects that it takes part in holding. */
export interface HoldingState {
  readonly startedAtMs: number;
  /** Era of the store, and when this node learned of it; undefined until the store was read. */
  readonly era?: number;
  readonly eraSinceMs: number;
  readonly lease?: Lease;
  readonly isLeaseCallInFlight: boolean;
  readonly leaseRetryAtMs: number;
  readonly claimCount: number;
  readonly isLeaving: boolean;
  readonly subjects: ReadonlyMap<string, HeldSubject>;
}

export type HoldingEvent =
  | { readonly kind: 'offer'; readonly subject: string }
  | { readonly kind: 'withdraw'; readonly subject: string }
  /** The store was read, or a reply told of its era. */
  | { readonly kind: 'era'; readonly era: number }
  | {
      readonly kind: 'stored';
      readonly subject: string;
      readonly holder: StoredHolder | undefined;
      readonly revision: number;
    }
  | { readonly kind: 'lease-granted'; readonly lease: string; readonly sentAt: Instant }
  | { readonly kind: 'lease-renewed'; readonly lease: string; readonly sentAt: Instant }
  | { readonly kind: 'lease-ended'; readonly lease: string }
  | { readonly kind: 'lease-call-failed' }
  | {
      readonly kind: 'claimed';
      readonly subject: string;
      readonly claim: string;
      readonly outcome: ClaimOutcome;
      /** Revision of the write, if it is done. */
      readonly revision: number;
    }
  /** Result of reading a key back; `holder` is undefined if there is none. */
  | {
      readonly kind: 'read-back';
      readonly subject: string;
      readonly claim: string;
      readonly holder: StoredHolder | undefined;
      readonly revision: number;
    }
  | { readonly kind: 'read-back-failed'; readonly subject: string; readonly claim: string }
  | { readonly kind: 'released'; readonly subject: string; readonly outcome: ClaimOutcome }
  /** A call is about to be sent and ends within `callMs`. */
  | { readonly kind: 'acting'; readonly subject: string; readonly callMs: number }
  | { readonly kind: 'acted'; readonly subject: string; readonly outcome: ActOutcome }
  /**
   * Time has passed. `ranks` says how many nodes claim each subject before this one; a subject
   * without a rank can't be claimed now.
   */
  | { readonly kind: 'wake'; readonly ranks: ReadonlyMap<string, number> }
  | { readonly kind: 'leave' };

export type HoldingAction =
  | { readonly kind: 'grant-lease' }
  | { readonly kind: 'renew-lease'; readonly lease: string }
  | { readonly kind: 'revoke-lease'; readonly lease: string }
  | {
      readonly kind: 'claim';
      readonly subject: string;
      readonly claim: string;
      readonly lease: string;
    }
  | { readonly kind: 'read-back'; readonly subject: string; readonly claim: string }
  | { readonly kind: 'release'; readonly subject: string; readonly token: number }
  | { readonly kind: 'gained'; readonly subject: string; readonly token: number }
  | {
      readonly kind: 'lost';
      readonly subject: string;
      readonly token: number;
      readonly reason: string;
    }
  /** `wake` is to be dispatched at this monotonic time, if nothing happens before. */
  | { readonly kind: 'wake-at'; readonly atMs: number };
