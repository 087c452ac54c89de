import type { CacheEvent } from '@zinniagrade/types';

/** LRU cache of prompt prefix blocks with a capacity in tokens. */
export interface PrefixCache {
  /** Number of leading prompt tokens that are cached. Marks their blocks as recently used. */
  readonly match: (prefixes: readonly string[]) => number;
  readonly store: (prefixes: readonly string[]) => void;
  readonly clear: () => void;
  /** All events since creation; sequence numbers start at 1. */
  readonly events: () => readonly CacheEvent[];
}

export const PrefixCache = {
  /**
   * `blockTokens` is the length of a block. `prefixes` hold the hashes of a prompt's blocks in
   * order.
   */
  create: (capacityTokens: number, blockTokens: number): PrefixCache => {
    // A Map iterates in insertion order, so its first key is the least recently used block.
    const blocks = new Map<string, true>();
    const capacityBlocks = Math.floor(capacityTokens / blockTokens);
    const events: CacheEvent[] = [];

    const recordEvent = (kind: CacheEvent['kind'], prefix: string): void => {
      events.push({ sequence: events.length + 1, kind, prefix });
    };
    const markUsed = (prefix: string): void => {
      blocks.delete(prefix);
      blocks.set(prefix, true);
    };

    return {
      match: (prefixes) => {
        let tokens = 0;
        for (const prefix of prefixes) {
          if (!blocks.has(prefix)) {
            break;
          }
          markUsed(prefix);
          tokens += blockTokens;
        }
        return tokens;
      },
      store: (prefixes) => {
        for (const prefix of prefixes.slice(0, capacityBlocks)) {
          if (!blocks.has(prefix)) {
            recordEvent('stored', prefix);
          }
          markUsed(prefix);
        }
        for (const [oldest] of blocks) {
          if (blocks.size <= capacityBlocks) {
            break;
          }
          blocks.delete(oldest);
          recordEvent('evicted', oldest);
        }
      },
      clear: () => {
        for (const [prefix] of blocks) {
          recordEvent('evicted', prefix);
        }
        blocks.clear();
      },
      events: () => events,
    };
  },
};
