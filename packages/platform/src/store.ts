import type { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import type { Either } from 'purify-ts';

/** Position in the total order of writes to the store; 0 stands for a key that does not exist. */
export type StoreRevision = number;

export interface StoredValue {
  readonly key: string;
  readonly value: unknown;
  readonly revision: StoreRevision;
}

/** What is known about a write. After `unknown` it may have taken effect, or may still do so. */
export type WriteOutcome =
  | { readonly outcome: 'done'; readonly revision: StoreRevision }
  | { readonly outcome: 'lost-race'; readonly revision: StoreRevision }
  | { readonly outcome: 'not-sent'; readonly failure: Failure }
  | { readonly outcome: 'unknown'; readonly failure: Failure };

export type LeaseId = string;

/** The key-value store of the platform. Failures are of kind `store-unavailable`. */
export interface Store {
  readonly get: (key: string) => Promise<Either<Failure, StoredValue | undefined>>;
  /** Writes only if the key is at `ifRevision`; 0 means that the key must not exist. */
  readonly put: (
    key: string,
    value: unknown,
    ifRevision: StoreRevision,
    leaseId?: LeaseId,
  ) => Promise<WriteOutcome>;
  readonly delete: (key: string, ifRevision: StoreRevision) => Promise<WriteOutcome>;
  readonly list: (prefix: string) => Promise<Either<Failure, readonly StoredValue[]>>;
  /** Waits for a revision after `after`; `undefined` if there is none within `waitMs`. */
  readonly watch: (
    key: string,
    after: StoreRevision,
    waitMs: Milliseconds,
  ) => Promise<Either<Failure, StoredValue | undefined>>;
  readonly grantLease: (ttlMs: Milliseconds) => Promise<Either<Failure, LeaseId>>;
  /** False when the lease has expired. */
  readonly renewLease: (leaseId: LeaseId) => Promise<Either<Failure, boolean>>;
  readonly revokeLease: (leaseId: LeaseId) => Promise<Either<Failure, boolean>>;
}

export interface Vm {
  readonly id: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/**
 * The platform's list of VMs. It lags behind the actual state, so it serves only to add candidates.
 */
export interface VmList {
  readonly list: () => Promise<Either<Failure, readonly Vm[]>>;
}

export interface WeightTransfer {
  readonly startInMs: Milliseconds;
  readonly durationMs: Milliseconds;
}

/** The rate-limited store of model weights. Fails with `overloaded` when its rate is exceeded. */
export interface WeightStore {
  readonly reserve: (model: string, version: string) => Promise<Either<Failure, WeightTransfer>>;
}
