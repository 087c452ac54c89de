import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';

/** A time in which the store may have been out for this node, on the monotonic clock. */
interface PossibleOutage {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Outages of the store that were long enough for entries to lapse that are renewed by heartbeats. A
 * call that fails shows none by itself: a connection may fall silent, a waiting watch may be cut,
 * and the store may turn away this node only. What bounds an outage are the calls before and after
 * it that the store answered, to this node or to others.
 */
export interface StoreOutages {
  /** To be called when the store has answered a call of this node that began at a time. */
  readonly recordAnswer: (startedAtMs: number) => void;
  /** To be called when a call of this node had no answer by which the store does what it asks. */
  readonly recordFailure: () => void;
  /** To be called when the store turns out to be restored from an older copy. */
  readonly recordRestore: () => void;
  /** Takes from another node for how long the store has been available without an outage. */
  readonly receive: (node: string, availableForMs: number) => void;
  /** For how long this node knows, by its own calls, that the store had no outage; 0 while it may. */
  readonly availableForMs: () => number;
  /** When the store was back from its last possible outage; undefined if there was none. */
  readonly returnedAtMs: () => number | undefined;
}

export interface StoreOutagesOptions {
  /**
   * Shortest outage in which an entry can lapse. When it begins, the last heartbeat is up to one
   * interval old.
   */
  readonly minOutageMs: number;
  /** Called when other nodes show that a possible outage was none. */
  readonly onRuledOut: () => void;
}

export const StoreOutages = {
  create: (clock: Clock, log: Log, options: StoreOutagesOptions): StoreOutages => {
    /** The store was certainly available at this time, or later. */
    let lastAvailableAtMs = clock.monotonicMs();
    /** Since when this node knows of no outage by its own calls. */
    let availableSinceMs: number | undefined;
    let hasFailed = false;
    let outage: PossibleOutage | undefined;

    return {
      recordAnswer: (startedAtMs) => {
        const nowMs = clock.monotonicMs();
        availableSinceMs ??= nowMs;
        if (hasFailed && nowMs - lastAvailableAtMs >= options.minOutageMs) {
          outage = { fromMs: lastAvailableAtMs, toMs: nowMs };
          availableSinceMs = nowMs;
          log.event('store outage possible', { forMs: Math.round(nowMs - lastAvailableAtMs) });
        }
        hasFailed = false;
        lastAvailableAtMs = Math.max(lastAvailableAtMs, startedAtMs);
      },
      recordFailure: () => {
        hasFailed = true;
      },
      recordRestore: () => {
        const nowMs = clock.monotonicMs();
        outage = { fromMs: -Infinity, toMs: nowMs };
        availableSinceMs = nowMs;
      },
      receive: (node, availableForMs) => {
        if (outage !== undefined && clock.monotonicMs() - availableForMs <= outage.fromMs) {
          log.event('store outage ruled out', { by: node, availableForMs });
          outage = undefined;
          options.onRuledOut();
        }
      },
      availableForMs: () =>
        hasFailed || availableSinceMs === undefined ? 0 : clock.monotonicMs() - availableSinceMs,
      returnedAtMs: () => outage?.toMs,
    };
  },
};
