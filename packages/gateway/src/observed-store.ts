import type { Clock } from '@zinniagrade/clock';
import type { MetadataStore } from './metadata-store.js';

/** What a call shows of the store: whether it was available to this node. */
type Evidence = 'answered' | 'failed' | 'none';

/** Learns what calls to the store show. */
export interface StoreObserver {
  readonly onAnswered: (startedAtMs: number) => void;
  /** `isWatch`: the call was a watch, whose connection may be cut while it waits. */
  readonly onFailed: (isWatch: boolean) => void;
}

/**
 * Reports which calls to the store were answered. Outcomes that the client also finds by itself show
 * nothing, such as a conflict with an entry of an earlier era.
 */
export const observeStore = (
  store: MetadataStore,
  clock: Clock,
  observer: StoreObserver,
): MetadataStore => {
  const observe = async <Outcome>(
    call: Promise<Outcome>,
    evidenceOf: (outcome: Outcome) => Evidence,
    isWatch = false,
  ): Promise<Outcome> => {
    const startedAtMs = clock.monotonicMs();
    const outcome = await call;
    const evidence = evidenceOf(outcome);
    if (evidence === 'answered') {
      observer.onAnswered(startedAtMs);
    } else if (evidence === 'failed') {
      observer.onFailed(isWatch);
    }
    return outcome;
  };

  return {
    list: (prefix) =>
      observe(store.list(prefix), (listing) => (listing.isRight() ? 'answered' : 'failed')),
    watch: (prefix, after, waitMs, signal) =>
      observe(
        store.watch(prefix, after, waitMs, signal),
        ({ outcome }) => {
          switch (outcome) {
            case 'events':
              return 'answered';
            case 'unavailable':
              return signal?.aborted === true ? 'none' : 'failed';
            case 'history-lost':
              return 'none';
          }
        },
        true,
      ),
    commit: (transaction) =>
      observe(store.commit(transaction), ({ outcome }) => {
        switch (outcome) {
          case 'done':
            return 'answered';
          case 'not-done':
          case 'unknown':
            return 'failed';
          case 'conflict':
          case 'lease-ended':
            return 'none';
        }
      }),
    grantLease: (ttlMs) =>
      observe(store.grantLease(ttlMs), (lease) => (lease.isRight() ? 'answered' : 'failed')),
    renewLease: (lease) =>
      observe(store.renewLease(lease), (renewed) =>
        renewed.isLeft() ? 'failed' : renewed.extract() ? 'answered' : 'none',
      ),
    revokeLease: (lease) =>
      observe(store.revokeLease(lease), (ended) =>
        ended.isLeft() ? 'failed' : ended.extract() ? 'answered' : 'none',
      ),
    close: store.close,
  };
};
