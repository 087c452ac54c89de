import type { Failure } from '@zinniagrade/errors';
import type { Either } from 'purify-ts';

/** Position in the one order of changes of the whole store; 0 stands for a key that doesn't exist. */
export type Revision = number;

export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change. */
  readonly revision: Revision;
}

/** A change of one key; without a value the key was removed. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: Revision;
  readonly value?: Buffer;
}

export interface StoreListing {
  readonly items: readonly StoredItem[];
  /** Revision of the store before the first page was read. */
  readonly revision: Revision;
}

/** `history-lost`: the store no longer knows the changes since the given revision. */
export type WatchOutcome =
  | {
      readonly outcome: 'events';
      readonly events: readonly StoreEvent[];
      readonly revision: Revision;
    }
  | { readonly outcome: 'history-lost' }
  | { readonly outcome: 'unavailable'; readonly failure: Failure };

export interface StoreWrite {
  readonly key: string;
  readonly value: Buffer;
  readonly lease?: LeaseId;
}

/** Writes that take effect together, if every key is at its expected revision. */
export interface Transaction {
  readonly expected: ReadonlyMap<string, Revision>;
  readonly writes: readonly StoreWrite[];
  readonly removals: readonly string[];
}

/** After `unknown` the transaction may have taken effect, or still do so. */
export type CommitOutcome =
  | { readonly outcome: 'done'; readonly revision: Revision }
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'lease-ended' }
  | { readonly outcome: 'not-done'; readonly failure: Failure }
  | { readonly outcome: 'unknown'; readonly failure: Failure };

export type LeaseId = string;

/** The platform's store. Everything that must outlive a process is kept here. */
export interface MetadataStore {
  readonly list: (prefix: string) => Promise<Either<Failure, StoreListing>>;
  /** Waits for changes after a revision; no events when none came within `waitMs`. */
  readonly watch: (prefix: string, after: Revision, waitMs: number) => Promise<WatchOutcome>;
  readonly commit: (transaction: Transaction) => Promise<CommitOutcome>;
  readonly grantLease: (ttlMs: number) => Promise<Either<Failure, LeaseId>>;
  /** False when the lease has ended. */
  readonly renewLease: (lease: LeaseId) => Promise<Either<Failure, boolean>>;
  readonly endLease: (lease: LeaseId) => Promise<Either<Failure, boolean>>;
  readonly close: () => void;
}
