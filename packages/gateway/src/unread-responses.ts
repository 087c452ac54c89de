import type { ServerResponse } from 'node:http';
import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import { onResponseClose } from './response-close.js';

/** Responses that callers have not taken yet, with a limit on the memory that all of them hold. */
export interface UnreadResponses {
  /** Sends a complete body, which counts until the caller's connection has taken all of it. */
  readonly end: (response: ServerResponse, body: Buffer) => void;
  /** To be called after each write to a stream; `giveUp` ends the stream of a caller that does not read. */
  readonly recordWrite: (response: ServerResponse, giveUp: () => void) => void;
  readonly heldBytes: () => number;
  /** Resets callers that have not read for longest; returns the bytes that they held. */
  readonly shed: (bytes: number) => number;
  readonly stop: () => void;
}

interface UnreadResponse {
  readonly heldBytes: () => number;
  readonly giveUp: () => void;
  lastReadAtMs: number;
  /** Bytes in the connection's queue when they were last looked at. */
  queuedBytes: number;
}

/** Large bodies are written in pieces, so that it shows whether their caller reads. */
const pieceBytes = 64 * 1024;
const checkIntervalMs = 100;
/** A caller that has read within this time is not reset. */
const minUnreadMs = 250;

const writePieces = (response: ServerResponse, body: Buffer, onTaken: () => void): void => {
  let offset = 0;
  const writeNext = (): void => {
    if (response.destroyed) {
      return;
    }
    const piece = body.subarray(offset, offset + pieceBytes);
    offset += piece.length;
    if (offset >= body.length) {
      response.end(piece);
      return;
    }
    response.write(piece, () => {
      onTaken();
      writeNext();
    });
  };
  writeNext();
};

export const UnreadResponses = {
  create: (clock: Clock, log: Log, maxBytes: number): UnreadResponses => {
    const unread = new Map<ServerResponse, UnreadResponse>();

    const add = (
      response: ServerResponse,
      heldBytes: () => number,
      giveUp: () => void,
    ): UnreadResponse => {
      const entry: UnreadResponse = {
        heldBytes,
        giveUp,
        lastReadAtMs: clock.monotonicMs(),
        queuedBytes: response.writableLength,
      };
      unread.set(response, entry);
      onResponseClose(response, () => unread.delete(response));
      return entry;
    };

    const heldBytes = (): number => {
      let total = 0;
      for (const entry of unread.values()) {
        total += entry.heldBytes();
      }
      return total;
    };

    const shed = (bytes: number): number => {
      const nowMs = clock.monotonicMs();
      const longestFirst = [...unread]
        .filter(([, entry]) => entry.heldBytes() > 0 && nowMs - entry.lastReadAtMs >= minUnreadMs)
        .sort(([, a], [, b]) => a.lastReadAtMs - b.lastReadAtMs);
      let shedBytes = 0;
      for (const [response, entry] of longestFirst) {
        if (shedBytes >= bytes) {
          break;
        }
        const held = entry.heldBytes();
        shedBytes += held;
        unread.delete(response);
        log.decision('unread response given up', {
          bytes: held,
          unreadMs: Math.round(nowMs - entry.lastReadAtMs),
        });
        entry.giveUp();
      }
      return shedBytes;
    };

    const check = (): void => {
      const nowMs = clock.monotonicMs();
      for (const [response, entry] of unread) {
        if (response.writableLength < entry.queuedBytes) {
          entry.lastReadAtMs = nowMs;
        }
        entry.queuedBytes = response.writableLength;
      }
      const excessBytes = heldBytes() - maxBytes;
      if (excessBytes > 0) {
        shed(excessBytes);
      }
    };
    const stop = clock.every(checkIntervalMs, check);

    return {
      end: (response, body) => {
        if (body.length <= pieceBytes) {
          response.end(body);
          if (response.writableLength > 0) {
            add(
              response,
              () => body.length,
              () => response.req.socket.resetAndDestroy(),
            );
          }
          return;
        }
        const entry = add(
          response,
          () => body.length,
          () => response.req.socket.resetAndDestroy(),
        );
        writePieces(response, body, () => {
          entry.lastReadAtMs = clock.monotonicMs();
        });
      },
      recordWrite: (response, giveUp) => {
        if (response.writableLength > 0 && !unread.has(response)) {
          add(response, () => response.writableLength, giveUp);
        }
      },
      heldBytes,
      shed,
      stop,
    };
  },
};
