import type { CacheEvent, UpstreamId } from '@zinniagrade/types';
import { LRUCache } from 'lru-cache';

/** Blocks indexed over all upstreams. */
const defaultMaxBlocks = 20_000;

/**
 * Approximate, mutable index of the prompt prefixes that upstreams have cached. Cache events arrive
 * late and with gaps, so an entry is only a hint: a wrong one costs a prefill, but never causes a
 * wrong answer.
 */
export interface PrefixIndex {
  readonly apply: (upstream: UpstreamId, events: readonly CacheEvent[]) => void;
  /** Records the prefixes that a request dispatched now will leave in the upstream's cache. */
  readonly recordDispatch: (upstream: UpstreamId, prefixes: readonly string[]) => void;
  /** Removes all entries of an upstream whose events were lost or that turned cold. */
  readonly removeUpstream: (upstream: UpstreamId) => void;
  /**
   * Number of leading blocks of the prompt that each upstream probably has cached. Leaves out
   * upstreams without any.
   */
  readonly countCachedBlocks: (prefixes: readonly string[]) => ReadonlyMap<UpstreamId, number>;
}

export const PrefixIndex = {
  create: (maxBlocks: number = defaultMaxBlocks): PrefixIndex => {
    const holders = new LRUCache<string, Set<UpstreamId>>({ max: maxBlocks });

    const addHolder = (upstream: UpstreamId, prefix: string): void => {
      const known = holders.get(prefix);
      if (known === undefined) {
        holders.set(prefix, new Set([upstream]));
      } else {
        known.add(upstream);
      }
    };

    const removeHolder = (upstream: UpstreamId, prefix: string): void => {
      const known = holders.peek(prefix);
      known?.delete(upstream);
      if (known?.size === 0) {
        holders.delete(prefix);
      }
    };

    return {
      apply: (upstream, events) => {
        for (const { kind, prefix } of events) {
          (kind === 'stored' ? addHolder : removeHolder)(upstream, prefix);
        }
      },
      recordDispatch: (upstream, prefixes) => {
        for (const prefix of prefixes) {
          addHolder(upstream, prefix);
        }
      },
      removeUpstream: (upstream) => {
        for (const prefix of [...holders.keys()]) {
          removeHolder(upstream, prefix);
        }
      },
      countCachedBlocks: (prefixes) => {
        const counts = new Map<UpstreamId, number>();
        for (const [index, prefix] of prefixes.entries()) {
          const known = holders.get(prefix);
          let extended = false;
          for (const upstream of known ?? []) {
            // A block counts only if all blocks before it are cached too.
            if ((counts.get(upstream) ?? 0) === index) {
              counts.set(upstream, index + 1);
              extended = true;
            }
          }
          if (!extended) {
            break;
          }
        }
        return counts;
      },
    };
  },
};
