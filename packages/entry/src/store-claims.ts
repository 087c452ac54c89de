import type { Clock } from '@zinniagrade/clock';
import { claimTtlMs } from '@zinniagrade/idempotency';
import type { LeaseId, Store } from '@zinniagrade/platform';
import type { Milliseconds } from '@zinniagrade/types';
import { z } from 'zod';
import type { ClaimStore } from './claim-key.js';

/**
 * Time for which one lease is reused for new claims, so that a claim usually costs a single write.
 */
const leaseReuseMs: Milliseconds = 3_600_000;
/**
 * Every claim of a lease lasts at least `claimTtlMs`, even one made at the end of the reuse time.
 */
const leaseTtlMs: Milliseconds = claimTtlMs + leaseReuseMs;

const claimSchema = z.object({
  node: z.string(),
  processIncarnation: z.number(),
  claimedAt: z.number(),
});

/**
 * Claims in the platform's store. They are bound to a lease, so that the store deletes old ones.
 */
export const createStoreClaims = (store: Store, clock: Clock): ClaimStore => {
  let lease: { readonly id: LeaseId; readonly reuseUntil: Milliseconds } | undefined;
  const currentLease = async (): Promise<LeaseId | undefined> => {
    const now = clock.monotonicMs();
    if (lease === undefined || lease.reuseUntil <= now) {
      const granted = await store.grantLease(leaseTtlMs);
      lease = granted
        .map((id) => ({ id, reuseUntil: now + leaseReuseMs }))
        .toMaybe()
        .extract();
    }
    return lease?.id;
  };
  return {
    create: async (key, ownClaim) => {
      const leaseId = await currentLease();
      if (leaseId === undefined) {
        return 'unavailable';
      }
      const { outcome } = await store.put(key, ownClaim, 0, leaseId);
      switch (outcome) {
        case 'done':
          return 'created';
        case 'lost-race':
          return 'exists';
        case 'unknown':
          return 'unknown';
        case 'not-sent':
          return 'unavailable';
      }
    },
    read: async (key) =>
      (await store.get(key)).caseOf({
        Left: () => 'unavailable',
        Right: (stored) => {
          const parsed = claimSchema.safeParse(stored?.value);
          return stored === undefined ? undefined : parsed.success ? parsed.data : 'unavailable';
        },
      }),
  };
};
