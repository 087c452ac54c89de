import type { Log } from './log.js';
import type { CommitOutcome, Revision } from './metadata-store.js';

/** An entry of the nodes that the store has lost, or has in an older state. */
export interface LostEntry {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the older state; 0 if the store has none. */
  readonly restoredRevision: Revision;
}

/** Entries that nodes write back to a store that was restored from an older copy. */
export interface LostEntries {
  readonly add: (entry: LostEntry) => void;
  /** Writes the entries that are not written yet. To be called at regular intervals. */
  readonly sweep: () => void;
}

export const LostEntries = {
  create: (
    log: Log,
    write: (entry: LostEntry) => Promise<CommitOutcome['outcome']>,
  ): LostEntries => {
    const entries = new Map<string, LostEntry>();

    const writeBack = async (entry: LostEntry): Promise<void> => {
      entries.delete(entry.key);
      const outcome = await write(entry);
      log.event('lost store entry written', { key: entry.key, outcome });
      // After a conflict another node has written it.
      if (outcome !== 'done' && outcome !== 'conflict' && !entries.has(entry.key)) {
        entries.set(entry.key, entry);
      }
    };

    const sweep = (): void => {
      for (const entry of [...entries.values()]) {
        writeBack(entry).catch((error: unknown) => {
          entries.set(entry.key, entry);
          log.event('lost store entry write failed', { key: entry.key, reason: String(error) });
        });
      }
    };

    return {
      add: (entry) => {
        entries.set(entry.key, entry);
      },
      sweep,
    };
  },
};
