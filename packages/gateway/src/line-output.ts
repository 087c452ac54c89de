import { Writable } from 'node:stream';

/** Writes bytes and reports how many were written; for example `fs.write` on a file descriptor. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A stream of lines that never blocks on a slow reader. */
export interface LineOutput {
  readonly stream: NodeJS.WritableStream;
  /** Returns and resets the number of lines dropped because the reader was too slow. */
  readonly drainDropped: () => number;
  /** Resolves when all lines are written, or after the timeout. */
  readonly flush: (timeoutMs: number) => Promise<void>;
}

/** Bound of the write queue; lines that exceed it are dropped. */
const maxQueuedBytes = 256 * 1024;
const flushCheckIntervalMs = 10;
/** Delay before a write is retried after EAGAIN. */
const writeRetryDelayMs = 20;

/**
 * Bounds the memory for output. Node.js queues all standard output that isn't read, without a limit;
 * here at most one asynchronous write is in progress and the queue behind it is bounded.
 */
export const LineOutput = {
  create: (write: WriteBytes): LineOutput => {
    let queue: Buffer[] = [];
    let queuedBytes = 0;
    let dropped = 0;
    let writing = false;

    const writeAll = (bytes: Buffer): void => {
      write(bytes, (error, written) => {
        if (error?.code === 'EAGAIN') {
          setTimeout(writeAll, writeRetryDelayMs, bytes);
        } else if (error === null && written < bytes.length) {
          writeAll(bytes.subarray(written));
        } else {
          // There is no place to report that standard output is closed, so the lines count as
          // dropped.
          dropped += error === null ? 0 : 1;
          writing = false;
          writeNext();
        }
      });
    };

    const writeNext = (): void => {
      if (writing || queue.length === 0) {
        return;
      }
      const bytes = Buffer.concat(queue);
      queue = [];
      queuedBytes = 0;
      writing = true;
      writeAll(bytes);
    };

    const stream = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        if (queuedBytes + chunk.length > maxQueuedBytes) {
          dropped += 1;
        } else {
          queue.push(chunk);
          queuedBytes += chunk.length;
          writeNext();
        }
        done();
      },
    });

    return {
      stream,
      drainDropped: () => {
        const count = dropped;
        dropped = 0;
        return count;
      },
      flush: async (timeoutMs) => {
        const endsAtMs = performance.now() + timeoutMs;
        while ((writing || queue.length > 0) && performance.now() < endsAtMs) {
          await new Promise((resolve) => {
            setTimeout(resolve, flushCheckIntervalMs);
          });
        }
      },
    };
  },
};
