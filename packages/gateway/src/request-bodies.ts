import type { IncomingMessage } from 'node:http';
import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';

/** Limits for one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time from now until the body has to be complete. */
  readonly timeoutMs: number;
}

/** Reads request bodies, with a limit on the memory that all of them take. */
export interface RequestBodies {
  /**
   * Reads the complete body, or returns the reason to refuse the request. Rejects if the connection
   * fails. Bytes count from their arrival until `release`.
   */
  readonly read: (message: IncomingMessage, limits: BodyLimits) => Promise<Buffer | Failure>;
  /** Refuses the bodies that are being read, and later ones that don't arrive with their head. */
  readonly stopReading: (failure: Failure) => void;
  /** To be called once for each body that was read, when it is no longer needed. */
  readonly release: (body: Buffer) => void;
  /** Bytes of all bodies that are being read or were not released yet. */
  readonly heldBytes: () => number;
}

/** Retry delay when the memory is full; some requests have ended by then and freed theirs. */
const memoryFullRetryAfterMs = 500;
/** Time for a body after `stopReading`; one that is sent with its head is there by then. */
const stoppedTimeoutMs = 50;

export const RequestBodies = {
  create: (clock: Clock, maxTotalBytes: number): RequestBodies => {
    let totalBytes = 0;
    let stopped: Failure | undefined;
    /** Refuse the bodies that are being read. */
    const pending = new Set<(failure: Failure) => void>();

    const read: RequestBodies['read'] = (message, { maxBytes, timeoutMs }) =>
      new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const stop = (): void => {
          pending.delete(refuse);
          cancelTimeout();
          totalBytes -= size;
          size = 0;
          message.off('data', onData);
        };
        const refuse = (failure: Failure): void => {
          stop();
          message.resume();
          resolve(failure);
        };
        const onData = (chunk: Buffer): void => {
          if (size + chunk.length > maxBytes) {
            const detail = `request body exceeds the limit of ${String(maxBytes)} bytes`;
            refuse(Failure.create('payload-too-large', detail));
            return;
          }
          if (totalBytes + chunk.length > maxTotalBytes) {
            const detail = 'memory for request bodies is full';
            refuse(Failure.create('overloaded', detail, memoryFullRetryAfterMs));
            return;
          }
          size += chunk.length;
          totalBytes += chunk.length;
          chunks.push(chunk);
        };
        const allowedMs = stopped === undefined ? timeoutMs : Math.min(timeoutMs, stoppedTimeoutMs);
        const cancelTimeout = clock.after(allowedMs, () => {
          const detail = 'the request body did not arrive in time';
          refuse(stopped ?? Failure.create('request-timeout', detail));
        });
        pending.add(refuse);
        message.on('data', onData);
        message.once('end', () => {
          pending.delete(refuse);
          cancelTimeout();
          resolve(Buffer.concat(chunks));
        });
        message.once('error', reject);
        message.once('close', () => {
          if (!message.complete) {
            stop();
            reject(new Error('caller closed the connection before the request body was complete'));
          }
        });
      });

    return {
      read,
      stopReading: (failure) => {
        stopped = failure;
        for (const refuse of [...pending]) {
          refuse(failure);
        }
      },
      release: (body) => {
        totalBytes -= body.length;
      },
      heldBytes: () => totalBytes,
    };
  },
};
