import type { HoldingEvent, Instant, StoredHolder } from '@zinniagrade/duties';
import type { ClusterChange } from './cluster-state.js';
import type { LeaseId, MetadataStore } from './metadata-store.js';

export interface DutyStoreOptions {
  readonly node: string;
  /** Differs for each process of the node. */
  readonly incarnation: string;
  readonly leaseMs: number;
  readonly keyOf: (subject: string) => string;
  readonly encode: (holder: StoredHolder) => Buffer;
  readonly decode: (key: string, value: Buffer) => ClusterChange;
}

/** Calls to the store by which a node holds subjects; each resolves with what the reply says. */
export interface DutyStoreCalls {
  /** `sentAt` is the time of the call, from which the lease counts. */
  readonly grantLease: (sentAt: Instant) => Promise<HoldingEvent>;
  readonly renewLease: (lease: LeaseId, sentAt: Instant) => Promise<HoldingEvent>;
  /** Writes the key of a subject if it doesn't exist. */
  readonly claim: (subject: string, claim: string, lease: LeaseId) => Promise<HoldingEvent>;
  readonly readBack: (subject: string, claim: string) => Promise<HoldingEvent>;
  /** Removes the key of a subject if it still has this token. */
  readonly release: (subject: string, token: number) => Promise<HoldingEvent>;
}

export const DutyStoreCalls = {
  create: (store: MetadataStore, options: DutyStoreOptions): DutyStoreCalls => {
    const { node, incarnation, leaseMs, keyOf } = options;
    return {
      grantLease: async (sentAt) => {
        const granted = await store.grantLease(leaseMs);
        return granted.caseOf<HoldingEvent>({
          Left: () => ({ kind: 'lease-call-failed' }),
          Right: (lease) => ({ kind: 'lease-granted', lease, sentAt }),
        });
      },
      renewLease: async (lease, sentAt) => {
        const renewed = await store.renewLease(lease);
        return renewed.caseOf<HoldingEvent>({
          Left: () => ({ kind: 'lease-call-failed' }),
          Right: (isAlive) =>
            isAlive ? { kind: 'lease-renewed', lease, sentAt } : { kind: 'lease-ended', lease },
        });
      },
      claim: async (subject, claim, lease) => {
        const key = keyOf(subject);
        const value = options.encode({ node, incarnation, claim });
        const result = await store.commit({
          expected: new Map([[key, 0]]),
          writes: [{ key, value, lease }],
          removals: [],
        });
        const revision = result.outcome === 'done' ? result.revision : 0;
        return { kind: 'claimed', subject, claim, outcome: result.outcome, revision };
      },
      readBack: async (subject, claim) => {
        const key = keyOf(subject);
        const listing = await store.list(key);
        return listing.caseOf<HoldingEvent>({
          Left: () => ({ kind: 'read-back-failed', subject, claim }),
          Right: ({ items }) => {
            const item = items.find((candidate) => candidate.key === key);
            const change = item === undefined ? undefined : options.decode(key, item.value);
            const holder = change?.kind === 'duty-holder' ? change.holder : undefined;
            return { kind: 'read-back', subject, claim, holder, revision: item?.revision ?? 0 };
          },
        });
      },
      release: async (subject, token) => {
        const key = keyOf(subject);
        const { outcome } = await store.commit({
          expected: new Map([[key, token]]),
          writes: [],
          removals: [key],
        });
        return { kind: 'released', subject, outcome };
      },
    };
  },
};
