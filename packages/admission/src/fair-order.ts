import type { ClientAccountId, Milliseconds } from '@zinniagrade/types';
import type { PendingRequest, Pool } from './admission-state.js';
import { rateAt } from './rate.js';

/**
 * Index of the next request to dispatch: the first of the account with the least cost in flight per
 * weight; -1 if none.
 */
export const nextRequestIndex = (
  waiting: readonly PendingRequest[],
  inFlight: Readonly<Record<ClientAccountId, number>>,
  skipped: ReadonlySet<string>,
): number => {
  let best = -1;
  let bestLevel = Number.POSITIVE_INFINITY;
  const seenAccounts = new Set<ClientAccountId>();
  for (const [index, request] of waiting.entries()) {
    if (skipped.has(request.id) || seenAccounts.has(request.clientAccount)) {
      continue;
    }
    // The queue is ordered by deadline, so the first request of an account is its next one.
    seenAccounts.add(request.clientAccount);
    const level = (inFlight[request.clientAccount] ?? 0) / request.weight;
    if (level < bestLevel) {
      best = index;
      bestLevel = level;
    }
  }
  return best;
};

interface QueuedCost {
  readonly cost: number;
  readonly weight: number;
}

/**
 * Cost that is dispatched before the request under max-min fairness: earlier requests of its
 * account, and those of other accounts up to the level that its account reaches with them.
 */
const costAhead = (pool: Pool, request: PendingRequest): number => {
  const queued = new Map<ClientAccountId, QueuedCost>();
  for (const { clientAccount, weight, cost, deadlineAt, id } of pool.waiting) {
    const own = clientAccount === request.clientAccount;
    if (id !== request.id && !(own && deadlineAt > request.deadlineAt)) {
      queued.set(clientAccount, { cost: (queued.get(clientAccount)?.cost ?? 0) + cost, weight });
    }
  }
  const own = queued.get(request.clientAccount)?.cost ?? 0;
  const level = ((pool.inFlight[request.clientAccount] ?? 0) + own) / request.weight;
  let ahead = own;
  for (const [account, { cost, weight }] of queued) {
    if (account !== request.clientAccount) {
      ahead += Math.min(cost, Math.max(0, level * weight - (pool.inFlight[account] ?? 0)));
    }
  }
  return ahead;
};

/**
 * Expected wait until the request is dispatched; 0 while the throughput of the pool is unknown, so
 * that no request is refused on a guess.
 */
export const expectedWaitMs = (pool: Pool, request: PendingRequest, now: Milliseconds): number => {
  const ahead = costAhead(pool, request);
  const perMs = rateAt(pool.rate, now);
  return ahead === 0 || perMs === 0 ? 0 : ahead / perMs;
};
