import type { Milliseconds } from '@zinniagrade/types';
import type { Clock } from './clock.js';

interface Timer {
  dueAt: Milliseconds;
  readonly creationOrder: number;
  readonly run: () => void;
  readonly intervalMs?: Milliseconds;
  cancelled: boolean;
}

/**
 * A clock that advances only by `advance`. Timers due at the same time run in the order of
 * creation.
 */
export interface VirtualClock extends Clock {
  /** Moves the clock forward and runs every timer that falls due on the way. */
  readonly advance: (byMs: Milliseconds) => void;
  readonly pendingTimers: () => number;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.creationOrder < b.creationOrder);

/** Adds a timer to a binary heap, which has the earliest timer at index 0. */
const pushTimer = (heap: Timer[], timer: Timer): void => {
  let index = heap.length;
  heap.push(timer);
  while (index > 0) {
    const parentIndex = (index - 1) >> 1;
    const parent = heap[parentIndex];
    if (parent === undefined || !isBefore(timer, parent)) {
      break;
    }
    heap[index] = parent;
    index = parentIndex;
  }
  heap[index] = timer;
};

const popTimer = (heap: Timer[]): Timer | undefined => {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) {
    return first;
  }
  let index = 0;
  for (;;) {
    const left = heap[2 * index + 1];
    const right = heap[2 * index + 2];
    if (left === undefined) {
      break;
    }
    const useRight = right !== undefined && isBefore(right, left);
    const child = useRight ? right : left;
    if (!isBefore(child, last)) {
      break;
    }
    heap[index] = child;
    index = 2 * index + (useRight ? 2 : 1);
  }
  heap[index] = last;
  return first;
};

export const VirtualClock = {
  create: (startWallMs: Milliseconds = 1_700_000_000_000): VirtualClock => {
    const heap: Timer[] = [];
    let now = 0;
    let creationOrder = 0;

    const schedule = (delayMs: Milliseconds, run: () => void, intervalMs?: Milliseconds) => {
      creationOrder += 1;
      const base = { dueAt: now + Math.max(0, delayMs), creationOrder, run, cancelled: false };
      const timer: Timer = intervalMs === undefined ? base : { ...base, intervalMs };
      pushTimer(heap, timer);
      return () => {
        timer.cancelled = true;
      };
    };

    const runNext = (timer: Timer): void => {
      if (timer.cancelled) {
        return;
      }
      now = Math.max(now, timer.dueAt);
      if (timer.intervalMs !== undefined) {
        timer.dueAt = now + timer.intervalMs;
        pushTimer(heap, timer);
      }
      timer.run();
    };

    return {
      monotonicMs: () => now,
      wallMs: () => startWallMs + now,
      after: (delayMs, run) => schedule(delayMs, run),
      every: (intervalMs, run) => schedule(intervalMs, run, intervalMs),
      advance: (byMs) => {
        const end = now + byMs;
        for (let next = heap[0]; next !== undefined && next.dueAt <= end; next = heap[0]) {
          popTimer(heap);
          runNext(next);
        }
        now = end;
      },
      pendingTimers: () => heap.filter((timer) => !timer.cancelled).length,
    };
  },
};
