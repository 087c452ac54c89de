import type { Clock, Random } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { StoreMirror } from './store-mirror.js';

/** What another node holds of the store. */
export interface HeldState {
  readonly node: string;
  readonly revision: number;
  readonly digest: number;
  /** Whether that node reads the store itself. */
  readonly watchesStore: boolean;
}

/**
 * Finds nodes that hold other entries than their neighbours at the same revision, whatever the cause,
 * and has them read the store again.
 */
export interface DivergenceCheck {
  readonly compare: (held: HeldState) => void;
}

/**
 * Nodes may differ for as long as some of them delay the removal of entries after a store outage, or
 * entries of a restored store.
 */
const toleratedMs = 8000;
/** Bounds the reads of nodes that stay different. */
const minReadIntervalMs = 20_000;
/** Nodes that differ together read the store one after the other. */
const maxReadDelayMs = 2000;

export const DivergenceCheck = {
  create: (clock: Clock, random: Random, log: Log, mirror: () => StoreMirror): DivergenceCheck => {
    /** Since when each node has been found to differ. */
    const differsSinceMs = new Map<string, number>();
    let readAtMs = -Infinity;

    const readAgain = (held: HeldState): void => {
      const { node, revision, digest } = held;
      log.event('entries differ from another node', {
        of: node,
        revision,
        digest,
        own: mirror().digest(),
      });
      mirror().readAgain();
    };

    return {
      compare: (held) => {
        const nowMs = clock.monotonicMs();
        // A node that follows others is the one to be corrected, unless both read the store.
        const mayBeWrong = held.watchesStore || mirror().storeAccess() !== 'watching';
        if (held.revision !== mirror().revision() || !mayBeWrong) {
          return;
        }
        if (held.digest === mirror().digest()) {
          differsSinceMs.delete(held.node);
          return;
        }
        const sinceMs = differsSinceMs.get(held.node) ?? nowMs;
        differsSinceMs.set(held.node, sinceMs);
        if (nowMs - sinceMs < toleratedMs || nowMs - readAtMs < minReadIntervalMs) {
          return;
        }
        readAtMs = nowMs;
        differsSinceMs.clear();
        clock.after(random() * maxReadDelayMs, () => {
          readAgain(held);
        });
      },
    };
  },
};
