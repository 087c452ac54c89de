import type { MetadataStore } from './metadata-store.js';

/** Store entries of the prompt parts and requests in quarantine. */
export interface QuarantineEntries {
  /** Writes the entry of a key unless it exists. Returns whether the store confirmed it. */
  readonly write: (key: string, lifeMs: number) => Promise<boolean>;
  readonly remove: (key: string) => Promise<boolean>;
}

export const QuarantineEntries = {
  create: (store: MetadataStore, entryKeyOf: (key: string) => string): QuarantineEntries => ({
    write: async (key, lifeMs) => {
      // The lease removes the entry in time, also if no node of today is left by then.
      const lease = await store.grantLease(lifeMs);
      if (lease.isLeft()) {
        return false;
      }
      const entryKey = entryKeyOf(key);
      const id = lease.unsafeCoerce();
      const { outcome } = await store.commit({
        expected: new Map([[entryKey, 0]]),
        writes: [{ key: entryKey, value: Buffer.from(key), lease: id }],
        removals: [],
      });
      if (outcome !== 'done') {
        await store.revokeLease(id);
      }
      return outcome === 'done';
    },
    remove: async (key) => {
      const { outcome } = await store.commit({
        expected: new Map(),
        writes: [],
        removals: [entryKeyOf(key)],
      });
      return outcome === 'done';
    },
  }),
};
