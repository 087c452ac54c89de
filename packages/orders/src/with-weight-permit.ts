import type { Clock, Random } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { WeightStore } from '@zinniagrade/platform';
import type { Milliseconds, ModelId, VersionId } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { type OrderStore, sleep } from './issue-order.js';
import { permitKey, permitLeaseMs, permitSequence, permitRetryDelayMs } from './weight-permit.js';

export interface WeightPermitOptions {
  readonly holder: string;
  readonly store: OrderStore;
  readonly weights: Pick<WeightStore, 'reserve'>;
  readonly clock: Pick<Clock, 'monotonicMs' | 'after' | 'every'>;
  readonly random: Random;
  /** Maximum number of concurrent loads over all processes. */
  readonly permits: number;
  readonly timeoutMs: Milliseconds;
}

const renewIntervalMs: Milliseconds = permitLeaseMs / 3;

/**
 * Acquires one free permit with the lease. If the outcome of the write is unknown, the key is read
 * back.
 */
const acquirePermit = async (
  { permits, random, holder, store }: WeightPermitOptions,
  leaseId: string,
): Promise<boolean> => {
  for (const permit of permitSequence(permits, random)) {
    const key = permitKey(permit);
    const written = await store.put(key, { holder, leaseId }, 0, leaseId);
    if (written.outcome === 'done') {
      return true;
    }
    if (written.outcome === 'unknown') {
      const read = await store.get(key);
      const value = read.toMaybe().extract()?.value as { readonly leaseId?: string } | undefined;
      if (value?.leaseId === leaseId) {
        return true;
      }
    }
  }
  return false;
};

/**
 * Runs a load of weights under one of the permits: acquires the permit, reserves the transfer, waits
 * for its start, runs `load`, and holds the permit until the transfer has ended. Failures:
 * `store-unavailable`, and `overloaded` when no permit or transfer was available in time.
 */
export const withWeightPermit = async <T>(
  model: ModelId,
  version: VersionId,
  load: () => Promise<T>,
  options: WeightPermitOptions,
): Promise<Either<Failure, T>> => {
  const { clock, timeoutMs, permits, store, weights } = options;
  const deadlineAt = clock.monotonicMs() + timeoutMs;
  const granted = await store.grantLease(permitLeaseMs);
  const leaseId = granted.toMaybe().extract();
  if (leaseId === undefined) {
    return granted.map(() => undefined as T);
  }
  const lease = { lost: false };
  const stopRenewing = clock.every(renewIntervalMs, () => {
    void store.renewLease(leaseId).then((renewed) => {
      lease.lost ||= renewed.equals(Right(false));
    });
  });
  const release = async (): Promise<void> => {
    stopRenewing();
    await store.revokeLease(leaseId);
  };
  let lastFailure = Failure.create(
    'overloaded',
    `none of the ${permits} weight load permits became free in time`,
  );
  let hasPermit = false;
  while (clock.monotonicMs() < deadlineAt && !lease.lost) {
    hasPermit = hasPermit || (await acquirePermit(options, leaseId));
    const reserved = hasPermit ? await weights.reserve(model, version) : Left(lastFailure);
    const transfer = reserved.toMaybe().extract();
    if (transfer === undefined) {
      reserved.ifLeft((failure) => {
        lastFailure = failure;
      });
      await sleep(clock, permitRetryDelayMs);
      continue;
    }
    await sleep(clock, transfer.startInMs);
    const startedAt = clock.monotonicMs();
    const result = await load();
    await sleep(clock, Math.max(0, startedAt + transfer.durationMs - clock.monotonicMs()));
    await release();
    return Right(result);
  }
  await release();
  return Left(lastFailure);
};
