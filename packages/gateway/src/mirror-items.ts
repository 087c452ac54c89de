import { hash32 } from '@zinniagrade/membership';
import { Revision } from './metadata-store.js';
import type { RelayedChange } from './node-message.js';

/**
 * The last known state of each key. Changes arrive from the store and from other nodes, possibly
 * repeated and out of order: a change is applied only if its revision is above that of its key.
 */
export interface MirrorItems {
  readonly set: (key: string, value: Buffer, revision: Revision) => SetOutcome;
  /** False if the key is unknown or its known state is as new or newer. */
  readonly remove: (key: string, revision: Revision) => boolean;
  readonly keys: () => readonly string[];
  /** The known value of a key; undefined if there is none. */
  readonly valueOf: (key: string) => Buffer | undefined;
  /** Revision of the last known change or removal of a key; 0 if it was never known. */
  readonly revisionOf: (key: string) => Revision;
  /**
   * Values and removals after a revision, for a node that doesn't get them from the store; undefined
   * if removals since then are no longer known.
   */
  readonly changesAfter: (revision: Revision) => readonly RelayedChange[] | undefined;
  /** Digest of all keys and their revisions, without the removed ones. */
  readonly digest: () => number;
}

/**
 * `old`: the known state of the key is as new or newer. `confirmed`: a restored store has the same
 * value under a new revision.
 */
export type SetOutcome = 'changed' | 'confirmed' | 'old';

interface Item {
  readonly value: Buffer;
  readonly revision: Revision;
}

/** Bound for recorded removals: upstreams and nodes that come and go have a new key each time. */
const maxRecordedRemovals = 2000;

export const MirrorItems = {
  create: (): MirrorItems => {
    const items = new Map<string, Item>();
    const removals = new Map<string, Revision>();
    /** Latest removal that is no longer recorded. */
    let forgottenRevision: Revision = 0;
    let digest = 0;

    /** Sums of hashes don't depend on the order in which changes arrive. */
    const toggleInDigest = (key: string, revision: Revision, sign: 1 | -1): void => {
      digest = (digest + sign * hash32(`${key}@${String(revision)}`)) >>> 0;
    };

    const forgetValue = (key: string): boolean => {
      const known = items.get(key);
      if (known === undefined) {
        return false;
      }
      toggleInDigest(key, known.revision, -1);
      return items.delete(key);
    };

    const lastRevision = (key: string): Revision =>
      Math.max(items.get(key)?.revision ?? 0, removals.get(key) ?? 0);

    const recordRemoval = (key: string, revision: Revision): void => {
      removals.delete(key);
      removals.set(key, revision);
      for (const [oldest, removedAt] of removals) {
        if (removals.size <= maxRecordedRemovals) {
          break;
        }
        forgottenRevision = Math.max(forgottenRevision, removedAt);
        removals.delete(oldest);
      }
    };

    return {
      set: (key, value, revision) => {
        const before = lastRevision(key);
        if (revision <= before) {
          return 'old';
        }
        const isRestored = Revision.eraOf(revision) > Revision.eraOf(before);
        const isSame = items.get(key)?.value.equals(value) === true;
        forgetValue(key);
        items.set(key, { value, revision });
        toggleInDigest(key, revision, 1);
        removals.delete(key);
        return isRestored && isSame ? 'confirmed' : 'changed';
      },
      remove: (key, revision) => {
        if (revision <= lastRevision(key)) {
          return false;
        }
        recordRemoval(key, revision);
        return forgetValue(key);
      },
      keys: () => [...items.keys()],
      valueOf: (key) => items.get(key)?.value,
      revisionOf: lastRevision,
      changesAfter: (revision) => {
        if (revision > 0 && revision < forgottenRevision) {
          return undefined;
        }
        const changes: RelayedChange[] = [];
        for (const [key, item] of items) {
          if (item.revision > revision) {
            changes.push({ key, revision: item.revision, value: item.value });
          }
        }
        for (const [key, removedAt] of removals) {
          if (removedAt > revision) {
            changes.push({ key, revision: removedAt });
          }
        }
        return changes;
      },
      digest: () => digest,
    };
  },
};
