import type { IncomingMessage } from 'node:http';
import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { MemoryGate } from './memory-gate.js';

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
}

/** Retry delay when the memory is full; some requests have ended by then and freed theirs. */
const memoryFullRetryAfterMs = 500;
/** Time for a body after `stopReading`; one that is sent with its head is there by then. */
const stoppedTimeoutMs = 50;
/** Bodies up to this size are served while larger ones fill their share. */
const smallBodyBytes = 32 * 1024;
/** Incomplete bodies that hold more than this are refused where there is no room for small ones. */
const minRefusedBytes = 8 * 1024;
/** Share of the memory for bodies that larger ones can fill. */
const largeBodiesShare = 0.75;
/** Memory that a chunk takes beside its bytes. */
const chunkOverheadBytes = 256;

/** A body that is being read. */
interface PendingBody {
  readonly heldBytes: () => number;
  readonly refuse: (failure: Failure) => void;
}

const createMemoryFailure = (): Failure =>
  Failure.create('overloaded', 'memory for request bodies is full', memoryFullRetryAfterMs);

export const RequestBodies = {
  create: (clock: Clock, maxTotalBytes: number, gate: MemoryGate): RequestBodies => {
    const maxLargeBytes = Math.floor(maxTotalBytes * largeBodiesShare);
    let totalBytes = 0;
    let stopped: Failure | undefined;
    const pending = new Set<PendingBody>();

    /** Refuses the largest bodies that are not complete, down to a size. */
    const shed = (bytes: number, minBytes = smallBodyBytes): number => {
      const largestFirst = [...pending].sort((a, b) => b.heldBytes() - a.heldBytes());
      let shedBytes = 0;
      for (const body of largestFirst) {
        if (shedBytes >= bytes || body.heldBytes() <= minBytes) {
          break;
        }
        shedBytes += body.heldBytes();
        body.refuse(createMemoryFailure());
      }
      return shedBytes;
    };

    const hasRoom = (bytes: number, isSmall: boolean): boolean => {
      if (!isSmall) {
        return totalBytes + bytes <= maxLargeBytes && gate.allows(bytes);
      }
      if (totalBytes + bytes > maxTotalBytes) {
        shed(maxTotalBytes - maxLargeBytes, minRefusedBytes);
      }
      return totalBytes + bytes <= maxTotalBytes;
    };

    const read: RequestBodies['read'] = (message, { maxBytes, timeoutMs }) =>
      new Promise((resolve, reject) => {
        /** A body that doesn't fit into the memory for large ones is refused for good. */
        const maxSize = Math.min(maxBytes, maxLargeBytes);
        const statedBytes = Number(message.headers['content-length'] ?? 0);
        const chunks: Buffer[] = [];
        let size = 0;
        const heldBytes = (): number => size + chunks.length * chunkOverheadBytes;
        const stop = (): void => {
          pending.delete(body);
          cancelTimeout();
          totalBytes -= heldBytes();
          size = 0;
          // The listeners keep the array for as long as the connection lingers.
          chunks.length = 0;
          message.off('data', onData);
        };
        const refuse = (failure: Failure): void => {
          stop();
          message.on('data', onRefusedData);
          resolve(failure);
        };
        const onRefusedData = (chunk: Buffer): void => {
          gate.recordReceived(chunk.length);
        };
        const onData = (chunk: Buffer): void => {
          gate.recordReceived(chunk.length);
          const newSize = size + chunk.length;
          if (newSize > maxSize) {
            const detail = `request body exceeds the limit of ${String(maxSize)} bytes`;
            refuse(Failure.create('payload-too-large', detail));
            return;
          }
          const isSmall = Math.max(newSize, statedBytes) <= smallBodyBytes;
          const fits = hasRoom(chunk.length + chunkOverheadBytes, isSmall);
          if (!pending.has(body)) {
            // Refused to make room.
            return;
          }
          if (!fits) {
            refuse(createMemoryFailure());
            return;
          }
          size = newSize;
          chunks.push(chunk);
          totalBytes += chunk.length + chunkOverheadBytes;
        };
        /** The copy takes memory beside the chunks until they are collected. */
        const joinChunks = (): Buffer => {
          const [first] = chunks;
          if (chunks.length === 1 && first !== undefined) {
            return first;
          }
          gate.recordReceived(size);
          return Buffer.concat(chunks);
        };
        const allowedMs = stopped === undefined ? timeoutMs : Math.min(timeoutMs, stoppedTimeoutMs);
        const cancelTimeout = clock.after(allowedMs, () => {
          const detail = 'the request body did not arrive in time';
          refuse(stopped ?? Failure.create('request-timeout', detail));
        });
        const body: PendingBody = { heldBytes, refuse };
        pending.add(body);
        message.on('data', onData);
        message.once('end', () => {
          if (!pending.has(body)) {
            return;
          }
          const joined = joinChunks();
          stop();
          totalBytes += joined.length;
          resolve(joined);
        });
        message.once('error', reject);
        message.once('close', () => {
          if (!message.complete && pending.has(body)) {
            stop();
            reject(new Error('caller closed the connection before the request body was complete'));
          }
        });
      });

    gate.addHolder({
      name: 'requestBodies',
      heldBytes: () => totalBytes,
      shed: (bytes) => shed(bytes),
    });

    return {
      read,
      stopReading: (failure) => {
        stopped = failure;
        for (const { refuse } of [...pending]) {
          refuse(failure);
        }
      },
      release: (body) => {
        totalBytes -= body.length;
      },
    };
  },
};
