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

/** What came of the call to the engine. */
export type OrderOutcome = 'done' | 'refused-old-token' | 'failed';

/** Sends an order; ends within the time given, whatever the engine does. */
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
  /** The order is given up after this time. */
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

/** `undefined` when it is not known whether the lease was renewed: it keeps its old end. */
const renewLease = async (
  store: OrderStore,
  id: string,
  requestedAt: Milliseconds,
): Promise<OrderLeaseEvent | undefined> =>
  (await store.renewLease(id)).caseOf<OrderLeaseEvent | undefined>({
    Left: () => undefined,
    Right: (renewed) => (renewed ? { kind: 'lease-renewed', requestedAt } : { kind: 'lease-lost' }),
  });

/** Does one thing on the way to the order; the event is what came of it. */
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

/** An order that was given, with the state for the next one. */
export interface IssuedOrder {
  readonly state: OrderLease;
  readonly token: FencingToken;
}

/**
 * Gives one order under the lease of its upstream, and repeats it until the engine has taken it.
 * Failure: `store-unavailable` when the time is over; the engine may then have taken the order.
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
    // Nothing is awaited between this check and the sending.
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
      `no lease on ${initialState.upstream} within ${options.timeoutMs} ms, or no answer from it`,
    ),
  );
};
