import type { Milliseconds, UpstreamId } from '@zinniagrade/types';
import type { FencingToken, OrderHolder } from './order.js';

export const orderLeaseMs: Milliseconds = 10_000;
/**
 * An order is sent only while more than this remains of the lease; it is also the timeout of the
 * call.
 */
export const orderLeaseMarginMs: Milliseconds = 2000;
/** The lease is renewed when less than this remains of it. */
const renewThresholdMs: Milliseconds = 6000;
/** Interval between reads of a key that another process holds. */
const keyPollIntervalMs: Milliseconds = 500;

export interface HeldLease {
  readonly id: string;
  /**
   * This process's monotonic clock before it sent the request that granted or last renewed the
   * lease.
   */
  readonly requestedAt: Milliseconds;
}

/** Last known state of the key `orders/<upstream>`; `absent` when no process holds it. */
export type ObservedKey = 'unknown' | 'absent' | (OrderHolder & { readonly revision: number });

/**
 * State of one process's lease to issue orders to one upstream. Times are on its monotonic clock.
 */
export interface OrderLease {
  readonly holder: string;
  readonly upstream: UpstreamId;
  readonly refusesOldTokens: boolean;
  readonly lease: HeldLease | undefined;
  readonly key: ObservedKey;
  readonly token: FencingToken | undefined;
}

export type OrderLeaseEvent =
  | { readonly kind: 'lease-granted'; readonly id: string; readonly requestedAt: Milliseconds }
  | { readonly kind: 'lease-renewed'; readonly requestedAt: Milliseconds }
  | { readonly kind: 'lease-lost' }
  | { readonly kind: 'key-read'; readonly key: Exclude<ObservedKey, 'unknown'> }
  | { readonly kind: 'key-taken'; readonly revision: number }
  /** The write lost a race to another process, or its outcome is not known. */
  | { readonly kind: 'key-uncertain' }
  /** The engine refused the order because it has accepted a higher token. */
  | { readonly kind: 'order-refused' };

export type OrderLeaseAction =
  | { readonly kind: 'ask-lease' }
  | { readonly kind: 'renew-lease'; readonly id: string }
  | { readonly kind: 'read-key' }
  | { readonly kind: 'take-key'; readonly leaseId: string; readonly ifRevision: number }
  | { readonly kind: 'wait'; readonly ms: Milliseconds }
  | { readonly kind: 'give'; readonly token: FencingToken; readonly timeoutMs: Milliseconds };

const create = (holder: string, upstream: UpstreamId, refusesOldTokens: boolean): OrderLease => ({
  holder,
  upstream,
  refusesOldTokens,
  lease: undefined,
  key: 'unknown',
  token: undefined,
});

/**
 * Lower bound of the remaining lease time: the store granted the lease after the request was sent.
 */
export const leaseRemainingMs = ({ lease }: OrderLease, now: Milliseconds): Milliseconds =>
  lease === undefined ? 0 : Math.max(0, lease.requestedAt + orderLeaseMs - now);

const applyEvent = (state: OrderLease, event: OrderLeaseEvent): OrderLease => {
  switch (event.kind) {
    case 'lease-granted':
      return {
        ...state,
        lease: { id: event.id, requestedAt: event.requestedAt },
        key: 'unknown',
        token: undefined,
      };
    case 'lease-renewed':
      return state.lease === undefined
        ? state
        : { ...state, lease: { ...state.lease, requestedAt: event.requestedAt } };
    case 'lease-lost':
      return { ...state, lease: undefined, key: 'unknown', token: undefined };
    case 'key-read': {
      const { key } = event;
      // Also resolves a write whose reply was lost: it took effect if the key carries this lease.
      const isOwn = key !== 'absent' && key.leaseId === state.lease?.id;
      return { ...state, key, token: isOwn ? key.revision : undefined };
    }
    case 'key-taken':
      return { ...state, token: event.revision };
    case 'key-uncertain':
    case 'order-refused':
      return { ...state, key: 'unknown', token: undefined };
  }
};

/**
 * Next action towards acquiring the key. With an engine that ignores tokens, the key of another
 * holder is taken over only after its lease has expired.
 */
const nextKeyAction = (
  { key, refusesOldTokens }: OrderLease,
  leaseId: string,
): OrderLeaseAction => {
  if (key === 'unknown') {
    return { kind: 'read-key' };
  }
  if (key === 'absent') {
    return { kind: 'take-key', leaseId, ifRevision: 0 };
  }
  return refusesOldTokens
    ? { kind: 'take-key', leaseId, ifRevision: key.revision }
    : { kind: 'wait', ms: keyPollIntervalMs };
};

/** Next action towards issuing an order. After `wait` the key is read again. */
const nextAction = (state: OrderLease, now: Milliseconds): OrderLeaseAction => {
  const { lease, token } = state;
  const remainingMs = leaseRemainingMs(state, now);
  if (lease === undefined || remainingMs === 0) {
    return { kind: 'ask-lease' };
  }
  if (remainingMs < renewThresholdMs) {
    return { kind: 'renew-lease', id: lease.id };
  }
  return token === undefined
    ? nextKeyAction(state, lease.id)
    : { kind: 'give', token, timeoutMs: orderLeaseMarginMs };
};

/** Whether an order may be sent now. To be checked again immediately before sending. */
const mayIssue = (state: OrderLease, now: Milliseconds): boolean =>
  state.token !== undefined && leaseRemainingMs(state, now) > orderLeaseMarginMs;

/** Pure state machine of the order lease of one upstream. */
export const OrderLease = { create, applyEvent, nextAction, mayIssue };
