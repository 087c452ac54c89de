import type { ClientAccountId, Milliseconds } from '@zinniagrade/types';
import type { PendingRequest, Pool } from './admission-state.js';
import { rateAt } from './rate.js';

/** Index of the next request: of the account with the least cost in flight for its weight. */
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
    // Requests stand in the order of their deadline, so the first of an account is its next one.
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

/** Cost that goes first under max-min fairness: the account's own, and the others' up to its level. */
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
 * Expected wait until the request is dispatched; 0 when nothing is known of the pool's speed yet, so that
 * nothing is refused on a guess.
 */
export const expectedWaitMs = (pool: Pool, request: PendingRequest, now: Milliseconds): number => {
  const ahead = costAhead(pool, request);
  const perMs = rateAt(pool.rate, now);
  return ahead === 0 || perMs === 0 ? 0 : ahead / perMs;
};
