import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import type { Milliseconds } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { type FencingToken, type Order, orderKey, type OrderHolder } from './order.js';
import {
  OrderLease,
  type OrderLeaseAction,
  type OrderLeaseEvent,
  orderLeaseMs,
} from './order-lease.js';

/** Outcome of the call to the engine. */
export type OrderOutcome = 'done' | 'refused-old-token' | 'failed';

/** Sends an order; settles within `timeoutMs` even if the engine does not answer. */
export type OrderSender = (
  order: Order,
  token: FencingToken,
  timeoutMs: Milliseconds,
) => Promise<OrderOutcome>;

export type OrderStore = Pick<Store, 'get' | 'put' | 'grantLease' | 'renewLease' | 'revokeLease'>;

export interface IssueOrderOptions {
  readonly store: OrderStore;
  readonly send: OrderSender;
  readonly clock: Pick<Clock, 'monotonicMs' | 'after'>;
  /** Time after which the order fails. */
  readonly timeoutMs: Milliseconds;
}

const storeRetryDelayMs: Milliseconds = 500;
const sendRetryDelayMs: Milliseconds = 500;

export const sleep = (clock: Pick<Clock, 'after'>, ms: Milliseconds): Promise<void> =>
  new Promise((resolve) => {
    clock.after(ms, resolve);
  });

const readKey = async (store: OrderStore, state: OrderLease): Promise<OrderLeaseEvent> => {
  const read = await store.get(orderKey(state.upstream));
  return read.caseOf<OrderLeaseEvent>({
    Left: () => ({ kind: 'key-uncertain' }),
    Right: (stored) => {
      if (stored === undefined) {
        return { kind: 'key-read', key: 'absent' };
      }
      const { holder, leaseId } = stored.value as OrderHolder;
      return { kind: 'key-read', key: { holder, leaseId, revision: stored.revision } };
    },
  });
};

const acquireKey = async (
  store: OrderStore,
  state: OrderLease,
  { ifRevision, leaseId }: Extract<OrderLeaseAction, { kind: 'take-key' }>,
): Promise<OrderLeaseEvent> => {
  const value: OrderHolder = { holder: state.holder, leaseId };
  const written = await store.put(orderKey(state.upstream), value, ifRevision, leaseId);
  return written.outcome === 'done'
    ? { kind: 'key-taken', revision: written.revision }
    : { kind: 'key-uncertain' };
};

const requestLease = async (
  store: OrderStore,
  requestedAt: Milliseconds,
): Promise<OrderLeaseEvent> =>
  (await store.grantLease(orderLeaseMs)).caseOf<OrderLeaseEvent>({
    Left: () => ({ kind: 'lease-lost' }),
    Right: (id) => ({ kind: 'lease-granted', id, requestedAt }),
  });

/**
 * `undefined` when it is not known whether the lease was renewed: its expiry then stays as it was.
 */
const renewLease = async (
  store: OrderStore,
  id: string,
  requestedAt: Milliseconds,
): Promise<OrderLeaseEvent | undefined> =>
  (await store.renewLease(id)).caseOf<OrderLeaseEvent | undefined>({
    Left: () => undefined,
    Right: (renewed) => (renewed ? { kind: 'lease-renewed', requestedAt } : { kind: 'lease-lost' }),
  });

/** Performs one preparatory action; returns its result as an event for the lease. */
const performAction = async (
  { clock, store }: IssueOrderOptions,
  state: OrderLease,
  action: Exclude<OrderLeaseAction, { kind: 'give' }>,
): Promise<OrderLeaseEvent | undefined> => {
  const requestedAt = clock.monotonicMs();
  switch (action.kind) {
    case 'ask-lease':
      return requestLease(store, requestedAt);
    case 'renew-lease':
      return renewLease(store, action.id, requestedAt);
    case 'read-key':
      return readKey(store, state);
    case 'take-key':
      return acquireKey(store, state, action);
    case 'wait':
      await sleep(clock, action.ms);
      return { kind: 'key-uncertain' };
  }
};

/** An order that the engine accepted, with the lease state for the next order. */
export interface IssuedOrder {
  readonly state: OrderLease;
  readonly token: FencingToken;
}

/**
 * Issues one order under the lease of its upstream, and retries until the engine has accepted it.
 * Fails with `store-unavailable` after `timeoutMs`; the engine may still have accepted the order.
 */
export const issueOrder = async (
  initialState: OrderLease,
  order: Order,
  options: IssueOrderOptions,
): Promise<Either<Failure, IssuedOrder>> => {
  const { clock, send } = options;
  const deadlineAt = clock.monotonicMs() + options.timeoutMs;
  let state = initialState;
  while (clock.monotonicMs() < deadlineAt) {
    const action = OrderLease.nextAction(state, clock.monotonicMs());
    if (action.kind !== 'give') {
      const event = await performAction(options, state, action);
      state = event === undefined ? state : OrderLease.applyEvent(state, event);
      if (event === undefined || event.kind === 'lease-lost' || event.kind === 'key-uncertain') {
        await sleep(clock, storeRetryDelayMs);
      }
      continue;
    }
    // No await between this check and the send, as the lease could expire meanwhile.
    if (!OrderLease.mayIssue(state, clock.monotonicMs())) {
      continue;
    }
    const outcome = await send(order, action.token, action.timeoutMs);
    if (outcome === 'done') {
      return Right({ state, token: action.token });
    }
    if (outcome === 'refused-old-token') {
      state = OrderLease.applyEvent(state, { kind: 'order-refused' });
    }
    await sleep(clock, sendRetryDelayMs);
  }
  return Left(
    Failure.create(
      'store-unavailable',
      `order to ${initialState.upstream} not confirmed within ${options.timeoutMs} ms: no lease, or no answer from the engine`,
    ),
  );
};
