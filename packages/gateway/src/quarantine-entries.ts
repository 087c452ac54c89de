import type { MetadataStore } from './metadata-store.js';

/** Store entries of the prompt parts in quarantine. */
export interface QuarantineEntries {
  /** Writes the entry of a part unless it exists. Returns whether the store confirmed it. */
  readonly write: (part: string, lifeMs: number) => Promise<boolean>;
  readonly remove: (part: string) => Promise<boolean>;
}

export const QuarantineEntries = {
  create: (store: MetadataStore, keyOf: (part: string) => string): QuarantineEntries => ({
    write: async (part, lifeMs) => {
      // The lease removes the entry in time, also if no node of today is left by then.
      const lease = await store.grantLease(lifeMs);
      if (lease.isLeft()) {
        return false;
      }
      const key = keyOf(part);
      const id = lease.unsafeCoerce();
      const { outcome } = await store.commit({
        expected: new Map([[key, 0]]),
        writes: [{ key, value: Buffer.from(part), lease: id }],
        removals: [],
      });
      if (outcome !== 'done') {
        await store.revokeLease(id);
      }
      return outcome === 'done';
    },
    remove: async (part) => {
      const { outcome } = await store.commit({
        expected: new Map(),
        writes: [],
        removals: [keyOf(part)],
      });
      return outcome === 'done';
    },
  }),
};
