import type { Revision } from './metadata-store.js';
import type { RelayedItem } from './node-message.js';

/**
 * The last known state of each key. Changes may come twice and out of order, from the store and from
 * other nodes: a change counts only if its revision is above that of its key.
 */
export interface MirrorItems {
  /** False where the change isn't newer than what is known. */
  readonly set: (key: string, value: Buffer, revision: Revision) => boolean;
  /** False where the key is unknown or its value is newer. */
  readonly remove: (key: string, revision: Revision) => boolean;
  readonly keys: () => readonly string[];
  /** Items and removals above a revision, for a node that can't reach the store. */
  readonly after: (revision: Revision) => readonly RelayedItem[];
}

interface Item {
  readonly value: Buffer;
  readonly revision: Revision;
}

/** Removals that are remembered; upstreams and nodes come and go under new keys. */
const maxRemovals = 2000;

export const MirrorItems = {
  create: (): MirrorItems => {
    const items = new Map<string, Item>();
    const removals = new Map<string, Revision>();

    const lastRevision = (key: string): Revision =>
      Math.max(items.get(key)?.revision ?? 0, removals.get(key) ?? 0);

    const rememberRemoval = (key: string, revision: Revision): void => {
      removals.delete(key);
      removals.set(key, revision);
      for (const oldest of removals.keys()) {
        if (removals.size <= maxRemovals) {
          break;
        }
        removals.delete(oldest);
      }
    };

    return {
      set: (key, value, revision) => {
        if (revision <= lastRevision(key)) {
          return false;
        }
        items.set(key, { value, revision });
        removals.delete(key);
        return true;
      },
      remove: (key, revision) => {
        if (revision <= lastRevision(key)) {
          return false;
        }
        rememberRemoval(key, revision);
        return items.delete(key);
      },
      keys: () => [...items.keys()],
      after: (revision) => {
        const found: RelayedItem[] = [];
        for (const [key, item] of items) {
          if (item.revision > revision) {
            found.push({ key, revision: item.revision, value: item.value });
          }
        }
        for (const [key, removedAt] of removals) {
          if (removedAt > revision) {
            found.push({ key, revision: removedAt });
          }
        }
        return found;
      },
    };
  },
};
