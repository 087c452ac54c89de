import type { Clock } from '@zinniagrade/clock';
import { claimTtlMs } from '@zinniagrade/idempotency';
import type { LeaseId, Store } from '@zinniagrade/platform';
import type { Milliseconds } from '@zinniagrade/types';
import { z } from 'zod';
import type { ClaimStore } from './claim-key.js';

/** One lease serves the claims of this time, so that a claim costs one write. */
const leaseReuseMs: Milliseconds = 3_600_000;
/** The claims of a lease last at least `claimLifeMs`, whenever they are made. */
const leaseTtlMs: Milliseconds = claimTtlMs + leaseReuseMs;

const claim = z.object({
  node: z.string(),
  processIncarnation: z.number(),
  claimedAt: z.number(),
});

/** Claims in the platform's store. They are bound to a lease, so that the store drops old ones. */
export const createStoreClaims = (store: Store, clock: Clock): ClaimStore => {
  let lease: { readonly id: LeaseId; readonly until: Milliseconds } | undefined;
  const currentLease = async (): Promise<LeaseId | undefined> => {
    const now = clock.monotonicMs();
    if (lease === undefined || lease.until <= now) {
      const granted = await store.grantLease(leaseTtlMs);
      lease = granted
        .map((id) => ({ id, until: now + leaseReuseMs }))
        .toMaybe()
        .extract();
    }
    return lease?.id;
  };
  return {
    create: async (key, own) => {
      const leaseId = await currentLease();
      if (leaseId === undefined) {
        return 'unavailable';
      }
      const { outcome } = await store.put(key, own, 0, leaseId);
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
          const parsed = claim.safeParse(stored?.value);
          return stored === undefined ? undefined : parsed.success ? parsed.data : 'unavailable';
        },
      }),
  };
};
