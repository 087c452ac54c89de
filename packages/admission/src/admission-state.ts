import type { ClientAccountId, Milliseconds, ServiceClass } from '@zinniagrade/types';

/** A request that waits for an upstream. Times are the node's monotonic clock. */
export interface PendingRequest {
  readonly id: string;
  readonly clientAccount: ClientAccountId;
  readonly weight: number;
  readonly class: ServiceClass;
  /** What requests compete for: a model, or a plain service. Pools never wait for each other. */
  readonly pool: string;
  /** Expected memory in tokens, or 1 for a call of a plain service. */
  readonly cost: number;
  readonly arrivedAt: Milliseconds;
  /** When the first token or the answer is due. */
  readonly deadlineAt: Milliseconds;
  /** Expected time from dispatch to the first token or the answer. */
  readonly firstAnswerMs: Milliseconds;
}

export interface AdmittedRequest {
  readonly clientAccount: ClientAccountId;
  readonly pool: string;
  readonly cost: number;
}

/** Cost that ended, as a rate per millisecond that decays. */
export interface Rate {
  readonly costPerMs: number;
  readonly updatedAt: Milliseconds;
  readonly startedAt: Milliseconds;
}

export interface Pool {
  /** Waiting requests, earliest deadline first. */
  readonly waiting: readonly PendingRequest[];
  /** Cost in flight by client account. */
  readonly inFlight: Readonly<Record<ClientAccountId, number>>;
  readonly rate: Rate;
}

export interface AdmissionState {
  readonly pools: Readonly<Record<string, Pool>>;
  readonly admitted: Readonly<Record<string, AdmittedRequest>>;
}

export type AdmissionEvent =
  | { readonly kind: 'arrive'; readonly request: PendingRequest }
  /** The caller has gone, or the request is answered otherwise. */
  | { readonly kind: 'cancel'; readonly id: string }
  /** An admitted request has ended, in whichever way. */
  | { readonly kind: 'end'; readonly id: string }
  /** An admitted request was refused by its upstream before any work, and waits again. */
  | { readonly kind: 'return'; readonly request: PendingRequest }
  /** Limits may have become free; refuses what can no longer meet its deadline. */
  | { readonly kind: 'tick' };

export type AdmissionAction<Placement> =
  | { readonly kind: 'dispatch'; readonly id: string; readonly placement: Placement }
  | {
      readonly kind: 'refuse';
      readonly id: string;
      readonly error: 'overloaded' | 'no-upstream';
      readonly retryAfterMs: Milliseconds;
    };

/**
 * Finds room for a request; `undefined` while there is none. Called in the order of the shares, with the
 * requests placed before it in the same step already counted by the caller's function.
 */
export type Placer<Placement> = (request: PendingRequest) => Placement | undefined;
