import type { Milliseconds, UpstreamId } from '@zinniagrade/types';
import type { FencingToken, OrderHolder } from './order.js';

export const orderLeaseMs: Milliseconds = 10_000;
/** An order is given only while the lease has more than this left; the call itself takes less. */
export const orderLeaseMarginMs: Milliseconds = 2000;
/** The lease is renewed when it has less than this left. */
const renewThresholdMs: Milliseconds = 6000;
/** Time between looks at a key that another process holds. */
const keyPollIntervalMs: Milliseconds = 500;

export interface HeldLease {
  readonly id: string;
  /** Own monotonic clock before the request that granted or last renewed it. */
  readonly requestedAt: Milliseconds;
}

/** What a process has seen of `orders/<upstream>`; `absent` when nobody holds it. */
export type ObservedKey = 'unknown' | 'absent' | (OrderHolder & { readonly revision: number });

/** The right of one process to give orders to one upstream. Times are on its monotonic clock. */
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
  /** Lost to another process, or the outcome of the write is not known. */
  | { readonly kind: 'key-uncertain' }
  /** The engine has seen a higher token. */
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

/** What the lease certainly has left: it was granted after the request was sent. */
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
      // Also settles a write whose reply was lost: it took effect if the key has this lease.
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

/** Who may take the key now: an engine that ignores tokens needs the old lease to have run out. */
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

/** The next thing to do on the way to an order. After `wait` the key is read again. */
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

/** Whether an order may be sent at this very moment. Asked again directly before the sending. */
const mayIssue = (state: OrderLease, now: Milliseconds): boolean =>
  state.token !== undefined && leaseRemainingMs(state, now) > orderLeaseMarginMs;

/** The decision about one upstream's orders: pure, over plain data. */
export const OrderLease = { create, applyEvent, nextAction, mayIssue };
