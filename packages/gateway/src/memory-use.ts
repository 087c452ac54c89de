import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';

/** Memory of a process, in bytes. */
export interface MemoryUse {
  /** All pages in memory, those of the program itself included. */
  readonly resident: number;
  /** JavaScript heap, used or not. */
  readonly heap: number;
  /** Buffers outside the heap. */
  readonly buffers: number;
}

export const noMemoryUse: MemoryUse = { resident: 0, heap: 0, buffers: 0 };

export const readMemoryUse = (): MemoryUse => {
  const { rss, heapTotal, external } = process.memoryUsage();
  return { resident: rss, heap: heapTotal, buffers: external };
};

/**
 * Frees memory that is no longer used, if Node.js runs with --expose-gc: V8 doesn't know the limit,
 * and lets 64 MB of unused buffers add up before it frees them by itself.
 */
export const collectGarbage = (kind: 'minor' | 'major'): void => {
  globalThis.gc?.(kind === 'minor');
};

/**
 * A reading that keeps its former value while it fails: the system tells the memory in use by files,
 * which can't be opened while no file descriptor is left.
 */
export const keepFormerValue = <Value>(
  log: Log,
  read: () => Value,
  initial: Value,
): (() => Value) => {
  let value = initial;
  let isFailing = false;
  return () => {
    try {
      value = read();
      isFailing = false;
    } catch (error) {
      if (!isFailing) {
        log.event('memory in use not readable', { reason: String(error) });
      }
      isFailing = true;
    }
    return value;
  };
};

/** Bytes that the process holds for its peers, by kind of data. */
export type HeldBytes = Readonly<Record<string, number>>;

export interface MemoryWatchOptions {
  /** Memory above which the process is killed, in bytes. */
  readonly limitBytes: number;
  readonly read: () => MemoryUse;
  readonly held: () => HeldBytes;
}

/** Logs the memory in use whenever it reaches another step, as a process killed for it can't. */
export interface MemoryWatch {
  readonly stop: () => void;
}

const checkIntervalMs = 100;
/** Share of the limit from one line to the next. */
const stepShare = 0.1;
/** Share of the limit below which no line is written. */
const minShare = 0.5;

export const MemoryWatch = {
  create: (clock: Clock, log: Log, options: MemoryWatchOptions): MemoryWatch => {
    let loggedStep = Math.floor(minShare / stepShare) - 1;
    const check = (): void => {
      const use = options.read();
      const step = Math.floor(use.resident / options.limitBytes / stepShare);
      if (step <= loggedStep) {
        return;
      }
      loggedStep = step;
      log.event('memory in use', { ...use, limit: options.limitBytes, ...options.held() });
    };
    const stop = clock.every(checkIntervalMs, check);
    return { stop };
  },
};
