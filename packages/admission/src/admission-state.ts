import type { ClientAccountId, Milliseconds, ServiceClass } from '@zinniagrade/types';

/** A request that waits for an upstream. Times are of the node's monotonic clock. */
export interface PendingRequest {
  readonly id: string;
  readonly clientAccount: ClientAccountId;
  readonly weight: number;
  readonly class: ServiceClass;
  /**
   * The resource that requests compete for: a model, or a plain service. Pools never wait for each
   * other.
   */
  readonly pool: string;
  /** Expected memory in tokens, or 1 for a call of a plain service. */
  readonly cost: number;
  readonly arrivedAt: Milliseconds;
  /** Deadline for the first token, or for the answer of a plain call. */
  readonly deadlineAt: Milliseconds;
  /** Expected time from dispatch to the first token, or to the answer of a plain call. */
  readonly firstAnswerMs: Milliseconds;
}

/** A request that was dispatched and has not ended. */
export interface AdmittedRequest {
  readonly clientAccount: ClientAccountId;
  readonly pool: string;
  readonly cost: number;
}

/** Exponentially decaying average of the cost that ends per millisecond. */
export interface Rate {
  readonly costPerMs: number;
  readonly updatedAt: Milliseconds;
  readonly startedAt: Milliseconds;
}

export interface Pool {
  /** Waiting requests, earliest deadline first. */
  readonly waiting: readonly PendingRequest[];
  /** Cost in flight, by client account. */
  readonly inFlight: Readonly<Record<ClientAccountId, number>>;
  readonly rate: Rate;
}

export interface AdmissionState {
  readonly pools: Readonly<Record<string, Pool>>;
  readonly admitted: Readonly<Record<string, AdmittedRequest>>;
}

export type AdmissionEvent =
  | { readonly kind: 'arrive'; readonly request: PendingRequest }
  /** The caller has disconnected, or the request was answered in another way. */
  | { readonly kind: 'cancel'; readonly id: string }
  /** An admitted request has ended, whatever its outcome. */
  | { readonly kind: 'end'; readonly id: string }
  /** An admitted request was refused by its upstream before any work was done, and waits again. */
  | { readonly kind: 'return'; readonly request: PendingRequest }
  /**
   * Dispatches requests for which there is room now, and refuses those that can no longer meet
   * their deadline.
   */
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
 * Finds room for a request; `undefined` if there is none. Called in dispatch order. It must count
 * the requests that it has placed earlier in the same step.
 */
export type Placer<Placement> = (request: PendingRequest) => Placement | undefined;
