import type { Milliseconds } from '@zinniagrade/types';
import type {
  AdmissionState,
  AdmissionAction,
  AdmissionEvent,
  AdmittedRequest,
  PendingRequest,
  Placer,
  Pool,
} from './admission-state.js';
import { expectedWaitMs, nextRequestIndex } from './fair-order.js';
import { Rate, addToRate } from './rate.js';

export const maxWaitingPerPool = 1000;
/**
 * The expected wait is divided by this before a request is refused for it. The lengths of outputs
 * differ so much that the measured throughput is uncertain, and a request that gets no room is
 * still refused at its deadline.
 */
const waitUncertaintyFactor = 2;
/** Bounds of the time after which a refused caller is told to retry. */
const minRetryAfterMs = 100;
const maxRetryAfterMs = 30_000;
/**
 * Requests of a pool that may fail to find room in one step. A large request at the head must not
 * block all smaller ones, and the queue of a full pool must not be searched to its end.
 */
const maxPlacementMisses = 4;

export interface AdmissionStep<Placement> {
  readonly state: AdmissionState;
  readonly actions: readonly AdmissionAction<Placement>[];
}

export const Admission = {
  create: (): AdmissionState => ({ pools: {}, admitted: {} }),
};

const poolOf = (state: AdmissionState, name: string, now: Milliseconds): Pool =>
  state.pools[name] ?? { waiting: [], inFlight: {}, rate: Rate.create(now) };

const withPool = (state: AdmissionState, name: string, pool: Pool): AdmissionState => ({
  ...state,
  pools: { ...state.pools, [name]: pool },
});

const insertByDeadline = (
  waiting: readonly PendingRequest[],
  request: PendingRequest,
): readonly PendingRequest[] => {
  let index = waiting.length;
  while (index > 0 && (waiting[index - 1]?.deadlineAt ?? 0) > request.deadlineAt) {
    index -= 1;
  }
  return [...waiting.slice(0, index), request, ...waiting.slice(index)];
};

/**
 * Time after which the caller may retry: the part of the expected wait that its deadline does not
 * cover.
 */
const computeRetryAfterMs = (waitMs: number, request: PendingRequest): Milliseconds => {
  const allowedWaitMs = request.deadlineAt - request.arrivedAt - request.firstAnswerMs;
  return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs - allowedWaitMs)));
};

const arrive = <Placement>(
  state: AdmissionState,
  request: PendingRequest,
  now: Milliseconds,
): AdmissionStep<Placement> => {
  const pool = poolOf(state, request.pool, now);
  const waitMs = expectedWaitMs(pool, request, now);
  const late = now + waitMs / waitUncertaintyFactor + request.firstAnswerMs > request.deadlineAt;
  if (pool.waiting.length >= maxWaitingPerPool || (waitMs > 0 && late)) {
    const retryAfterMs = computeRetryAfterMs(waitMs, request);
    return {
      state: withPool(state, request.pool, pool),
      actions: [{ kind: 'refuse', id: request.id, error: 'overloaded', retryAfterMs }],
    };
  }
  const waiting = insertByDeadline(pool.waiting, request);
  return { state: withPool(state, request.pool, { ...pool, waiting }), actions: [] };
};

const cancel = (state: AdmissionState, id: string): AdmissionState => {
  for (const [name, pool] of Object.entries(state.pools)) {
    const waiting = pool.waiting.filter((request) => request.id !== id);
    if (waiting.length < pool.waiting.length) {
      return withPool(state, name, { ...pool, waiting });
    }
  }
  return state;
};

/** Removes an admitted request. If it has ended, its cost counts towards the throughput of the pool. */
const release = (
  state: AdmissionState,
  id: string,
  ended: boolean,
  now: Milliseconds,
): AdmissionState => {
  const entry = state.admitted[id];
  if (entry === undefined) {
    return state;
  }
  const pool = poolOf(state, entry.pool, now);
  const admitted = Object.fromEntries(
    Object.entries(state.admitted).filter(([other]) => other !== id),
  );
  const { [entry.clientAccount]: currentCost = 0, ...others } = pool.inFlight;
  const remainingCost = currentCost - entry.cost;
  return {
    pools: {
      ...state.pools,
      [entry.pool]: {
        ...pool,
        // A tiny remainder is a rounding error of the sums.
        inFlight:
          remainingCost > 1e-6 ? { ...others, [entry.clientAccount]: remainingCost } : others,
        rate: ended ? addToRate(pool.rate, entry.cost, now) : pool.rate,
      },
    },
    admitted,
  };
};

/** Refuses the waiting requests that could not meet their deadline even if they were dispatched now. */
const refuseUnmeetable = <Placement>(
  pool: Pool,
  now: Milliseconds,
): { readonly pool: Pool; readonly actions: AdmissionAction<Placement>[] } => {
  const late = (request: PendingRequest): boolean =>
    now + request.firstAnswerMs > request.deadlineAt;
  const actions = pool.waiting.filter(late).map((request) => ({
    kind: 'refuse' as const,
    id: request.id,
    error: 'overloaded' as const,
    retryAfterMs: computeRetryAfterMs(
      expectedWaitMs(pool, request, now) + (now - request.arrivedAt),
      request,
    ),
  }));
  return actions.length === 0
    ? { pool, actions }
    : { pool: { ...pool, waiting: pool.waiting.filter((request) => !late(request)) }, actions };
};

const dispatchFromPool = <Placement>(
  state: AdmissionState,
  name: string,
  initialPool: Pool,
  place: Placer<Placement>,
): AdmissionStep<Placement> => {
  const actions: AdmissionAction<Placement>[] = [];
  const skipped = new Set<string>();
  const waiting = [...initialPool.waiting];
  const inFlight: Record<string, number> = { ...initialPool.inFlight };
  const dispatched: Record<string, AdmittedRequest> = {};
  while (skipped.size < maxPlacementMisses) {
    const index = nextRequestIndex(waiting, inFlight, skipped);
    const request = waiting[index];
    if (request === undefined) {
      break;
    }
    const placement = place(request);
    if (placement === undefined) {
      skipped.add(request.id);
      continue;
    }
    waiting.splice(index, 1);
    const { id, clientAccount, pool, cost } = request;
    inFlight[clientAccount] = (inFlight[clientAccount] ?? 0) + cost;
    dispatched[id] = { clientAccount, pool, cost };
    actions.push({ kind: 'dispatch', id, placement });
  }
  // Most steps of a busy node dispatch nothing; these keep the state without a copy.
  return actions.length === 0
    ? { state, actions }
    : {
        state: withPool({ ...state, admitted: { ...state.admitted, ...dispatched } }, name, {
          ...initialPool,
          waiting,
          inFlight,
        }),
        actions,
      };
};

/**
 * Dispatches the requests that find room, in the order of fair shares, then refuses those that are
 * too late.
 */
const dispatchAndRefuse = <Placement>(
  state: AdmissionState,
  names: readonly string[],
  place: Placer<Placement>,
  now: Milliseconds,
): AdmissionStep<Placement> => {
  let current = state;
  const actions: AdmissionAction<Placement>[] = [];
  for (const name of names) {
    const pool = current.pools[name];
    if (pool === undefined || pool.waiting.length === 0) {
      continue;
    }
    const drained = dispatchFromPool(current, name, pool, place);
    const afterRefusals = refuseUnmeetable<Placement>(poolOf(drained.state, name, now), now);
    current = withPool(drained.state, name, afterRefusals.pool);
    actions.push(...drained.actions, ...afterRefusals.actions);
  }
  return { state: current, actions };
};

/**
 * Queues requests until there is room for them, shares the room between client accounts by weight,
 * and refuses at once each request that cannot meet its deadline. Each pool has a queue of its own,
 * so a lookup never waits behind a generation.
 */
export const stepAdmission = <Placement>(
  state: AdmissionState,
  event: AdmissionEvent,
  now: Milliseconds,
  place: Placer<Placement>,
): AdmissionStep<Placement> => {
  switch (event.kind) {
    case 'arrive': {
      const arrived = arrive<Placement>(state, event.request, now);
      const drained = dispatchAndRefuse(arrived.state, [event.request.pool], place, now);
      return { state: drained.state, actions: [...arrived.actions, ...drained.actions] };
    }
    case 'cancel':
      return { state: cancel(state, event.id), actions: [] };
    case 'end': {
      const name = state.admitted[event.id]?.pool;
      const released = release(state, event.id, true, now);
      return dispatchAndRefuse(released, name === undefined ? [] : [name], place, now);
    }
    case 'return': {
      const released = release(state, event.request.id, false, now);
      const pool = poolOf(released, event.request.pool, now);
      const waiting = insertByDeadline(pool.waiting, event.request);
      return {
        state: withPool(released, event.request.pool, { ...pool, waiting }),
        actions: [],
      };
    }
    case 'tick':
      return dispatchAndRefuse(state, Object.keys(state.pools), place, now);
  }
};

/**
 * Number and cost of the requests that wait in one pool, which the node states in its demands to
 * the owners.
 */
export const waitingInPool = (
  state: AdmissionState,
  pool: string,
): { readonly requests: number; readonly cost: number } => {
  const waiting = state.pools[pool]?.waiting ?? [];
  return { requests: waiting.length, cost: waiting.reduce((sum, { cost }) => sum + cost, 0) };
};
