import type { HybridTime, Milliseconds } from '@zinniagrade/types';

/**
 * Hybrid logical clock: orders causally related events of many processes and stays close to the
 * wall clock.
 * Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export interface HybridClock {
  /** Timestamp for an event of this process. */
  readonly now: () => HybridTime;
  /**
   * Merges a timestamp received from another process, so that later events of this process come
   * after it.
   */
  readonly observe: (other: HybridTime) => void;
}

export const HybridClock = {
  create: (wallMs: () => Milliseconds): HybridClock => {
    let last: HybridTime = { wallMs: 0, counter: 0 };
    return {
      now: () => {
        const wall = wallMs();
        last =
          wall > last.wallMs
            ? { wallMs: wall, counter: 0 }
            : { wallMs: last.wallMs, counter: last.counter + 1 };
        return last;
      },
      observe: (other) => {
        if (
          other.wallMs > last.wallMs ||
          (other.wallMs === last.wallMs && other.counter > last.counter)
        ) {
          last = other;
        }
      },
    };
  },
};

/** Negative when `a` comes before `b`. */
export const compareHybridTimes = (a: HybridTime, b: HybridTime): number =>
  a.wallMs - b.wallMs || a.counter - b.counter;
