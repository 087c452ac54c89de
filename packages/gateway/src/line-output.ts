import { Writable } from 'node:stream';

/** Writes bytes and calls back with how many were taken; `fs.write` on a file descriptor, for example. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A stream of lines that never waits for its reader. */
export interface LineOutput {
  readonly stream: NodeJS.WritableStream;
  /** Lines that were dropped because the reader was behind, since the last call. */
  readonly drainDropped: () => number;
  /** Resolves when all is written, or after the given time. */
  readonly flush: (timeoutMs: number) => Promise<void>;
}

/** Bytes that wait for a reader; what comes on top is dropped. */
const maxWaitingBytes = 256 * 1024;
const flushCheckMs = 10;
/** Time before another try where the reader had no room. */
const fullRetryMs = 20;

/**
 * Node.js keeps all that a reader of standard output doesn't take, without a bound. Here one write at
 * a time is under way outside the loop, and what waits is bounded.
 */
export const LineOutput = {
  create: (write: WriteBytes): LineOutput => {
    let waiting: Buffer[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let writing = false;

    const writeAll = (bytes: Buffer): void => {
      write(bytes, (error, written) => {
        if (error?.code === 'EAGAIN') {
          setTimeout(writeAll, fullRetryMs, bytes);
        } else if (error === null && written < bytes.length) {
          writeAll(bytes.subarray(written));
        } else {
          // Nobody can be told where standard output is closed; the lines count as dropped.
          dropped += error === null ? 0 : 1;
          writing = false;
          writeNext();
        }
      });
    };

    const writeNext = (): void => {
      if (writing || waiting.length === 0) {
        return;
      }
      const bytes = Buffer.concat(waiting);
      waiting = [];
      waitingBytes = 0;
      writing = true;
      writeAll(bytes);
    };

    const stream = new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        if (waitingBytes + chunk.length > maxWaitingBytes) {
          dropped += 1;
        } else {
          waiting.push(chunk);
          waitingBytes += chunk.length;
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
        while ((writing || waiting.length > 0) && performance.now() < endsAtMs) {
          await new Promise((resolve) => {
            setTimeout(resolve, flushCheckMs);
          });
        }
      },
    };
  },
};
