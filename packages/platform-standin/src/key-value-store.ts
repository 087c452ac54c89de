import type { Milliseconds } from '@zinniagrade/types';

export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
  readonly leaseId?: string | undefined;
}

/** With `ifRevision` 0 the key must not exist; without it the write is unconditional. */
export interface Write {
  readonly key: string;
  readonly value: unknown;
  readonly ifRevision?: number | undefined;
  readonly leaseId?: string | undefined;
}

/** A conflict carries the current revision of the key; 0 if the key does not exist. */
export type WriteOutcome =
  | { readonly kind: 'written' | 'conflict'; readonly revision: number }
  | { readonly kind: 'no-lease' };

interface Lease {
  readonly ttlMs: Milliseconds;
  expiresAt: Milliseconds;
  readonly keys: Set<string>;
}

/** In-memory key-value store with compare-and-swap and leases; the caller passes the time. */
export type KeyValueStore = ReturnType<typeof KeyValueStore.create>;

export const KeyValueStore = {
  /** `onChange` is called after each change of a key; without an entry if the key was removed. */
  create: (onChange: (key: string, entry: Entry | undefined) => void) => {
    const entries = new Map<string, Entry>();
    const leases = new Map<string, Lease>();
    const changeRevisions = new Map<string, number>();
    // One counter for the whole store, so that a key never gets the same revision twice.
    let revision = 0;
    let leaseCount = 0;

    const recordChange = (key: string): number => {
      revision += 1;
      changeRevisions.set(key, revision);
      return revision;
    };
    const detachFromLease = (key: string): void => {
      leases.get(entries.get(key)?.leaseId ?? '')?.keys.delete(key);
    };
    const removeEntry = (key: string): void => {
      detachFromLease(key);
      if (entries.delete(key)) {
        recordChange(key);
        onChange(key, undefined);
      }
    };
    const deleteLease = (leaseId: string): void => {
      const keys = [...(leases.get(leaseId)?.keys ?? [])];
      leases.delete(leaseId);
      keys.forEach(removeEntry);
    };
    const findConflict = (
      key: string,
      ifRevision: number | undefined,
    ): WriteOutcome | undefined => {
      const currentRevision = entries.get(key)?.revision ?? 0;
      return ifRevision === undefined || ifRevision === currentRevision
        ? undefined
        : { kind: 'conflict', revision: currentRevision };
    };

    return {
      /** Removes expired leases and their keys; call it before each other method. */
      expire: (now: Milliseconds): void => {
        for (const [leaseId, lease] of leases) {
          if (lease.expiresAt <= now) {
            deleteLease(leaseId);
          }
        }
      },
      get: (key: string): Entry | undefined => entries.get(key),
      list: (prefix: string): readonly Entry[] =>
        [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
      put: ({ key, value, ifRevision, leaseId }: Write): WriteOutcome => {
        const lease = leases.get(leaseId ?? '');
        const conflict = findConflict(key, ifRevision);
        if (conflict !== undefined) {
          return conflict;
        }
        if (leaseId !== undefined && lease === undefined) {
          return { kind: 'no-lease' };
        }
        detachFromLease(key);
        lease?.keys.add(key);
        const entry = { key, value, revision: recordChange(key), leaseId };
        entries.set(key, entry);
        onChange(key, entry);
        return { kind: 'written', revision: entry.revision };
      },
      remove: (key: string, ifRevision: number | undefined): WriteOutcome => {
        const conflict = findConflict(key, ifRevision);
        if (conflict === undefined) {
          removeEntry(key);
        }
        return conflict ?? { kind: 'written', revision };
      },
      createLease: (ttlMs: Milliseconds, now: Milliseconds): string => {
        leaseCount += 1;
        const leaseId = `lease-${leaseCount}`;
        leases.set(leaseId, { ttlMs, expiresAt: now + ttlMs, keys: new Set() });
        return leaseId;
      },
      /** Returns false if the lease has expired or is unknown. */
      renewLease: (leaseId: string, now: Milliseconds): boolean => {
        const lease = leases.get(leaseId);
        if (lease !== undefined) {
          lease.expiresAt = now + lease.ttlMs;
        }
        return lease !== undefined;
      },
      deleteLease,
      /** Revision of the key's last change, including removal; 0 if it was never written. */
      lastChangeRevision: (key: string): number => changeRevisions.get(key) ?? 0,
    };
  },
};
