import type { Failure } from '@zinniagrade/errors';
import type { Either } from 'purify-ts';

/**
 * Position in the total order of the store's changes; 0 means that a key doesn't exist. The era
 * counts how often the store was restored from an older copy, after which it gives out the numbers
 * of lost changes again. Positions of a later era are greater, whatever their number.
 */
export type Revision = number;

/** Numbers of changes within one era are below this; positions stay exact as floating point. */
const changesPerEra = 2 ** 32;

export const Revision = {
  create: (era: number, change: number): Revision =>
    change === 0 ? 0 : era * changesPerEra + change,
  eraOf: (revision: Revision): number => Math.floor(revision / changesPerEra),
  /** The number that the store gave the change. */
  changeOf: (revision: Revision): number => revision % changesPerEra,
};

export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the key's last change. */
  readonly revision: Revision;
}

/** A change of one key; an undefined value means that the key was removed. */
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

/**
 * `history-lost`: the store no longer has all changes since the given revision, or was restored from
 * an older copy.
 */
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

/** Writes and removals that are applied atomically if every key is at its expected revision. */
export interface Transaction {
  readonly expected: ReadonlyMap<string, Revision>;
  readonly writes: readonly StoreWrite[];
  readonly removals: readonly string[];
}

/** `unknown`: the transaction may have been applied, or may still be applied. */
export type CommitOutcome =
  | { readonly outcome: 'done'; readonly revision: Revision }
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'lease-ended' }
  | { readonly outcome: 'not-done'; readonly failure: Failure }
  | { readonly outcome: 'unknown'; readonly failure: Failure };

export type LeaseId = string;

/** The platform's store, which holds all state that must outlive a process. */
export interface MetadataStore {
  readonly list: (prefix: string) => Promise<Either<Failure, StoreListing>>;
  /**
   * Waits up to `waitMs` for changes after a revision; returns no events if there were none. The
   * signal closes the connection, after which the outcome has no meaning.
   */
  readonly watch: (
    prefix: string,
    after: Revision,
    waitMs: number,
    signal?: AbortSignal,
  ) => Promise<WatchOutcome>;
  readonly commit: (transaction: Transaction) => Promise<CommitOutcome>;
  readonly grantLease: (ttlMs: number) => Promise<Either<Failure, LeaseId>>;
  /** False if the lease has ended. */
  readonly renewLease: (lease: LeaseId) => Promise<Either<Failure, boolean>>;
  readonly revokeLease: (lease: LeaseId) => Promise<Either<Failure, boolean>>;
  readonly close: () => void;
}
