import type { Clock, HybridClock } from '@zinniagrade/clock';
import { type FrameConnection, connectFrames } from '@zinniagrade/frames';
import type { TimelineEvent } from '@zinniagrade/types';
import { EventBuffer } from './event-buffer.js';
import { readTimelineMessage, type TimelineEvents } from './timeline-message.js';

const flushIntervalMs = 200;
const reconnectDelayMs = 1000;
const defaultCapacity = 1000;
/** Sequence numbers reserved for each millisecond of the wall clock between two starts. */
const sequencesPerMs = 1000;

export interface CollectorAddress {
  readonly host: string;
  readonly port: number;
}

export interface EventSenderOptions {
  /** Name of the process, the same after a restart. */
  readonly process: string;
  /** Absent in a deployment without a collector; events are then counted as dropped. */
  readonly address?: CollectorAddress | undefined;
  readonly secret: string;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  /** Maximum number of unconfirmed events kept. */
  readonly capacity?: number;
}

/** Sends the events of one process. Never blocks or fails; dropped events are counted. */
export interface EventSender {
  readonly emit: (name: string, fields?: TimelineEvent['fields']) => void;
  /** Number of events dropped since the start. */
  readonly dropped: () => number;
  /** Number of events that the collector has not confirmed. */
  readonly unconfirmed: () => number;
  readonly close: () => void;
}

export const EventSender = {
  create: (options: EventSenderOptions): EventSender => {
    const { address, clock, hybridClock, process, secret } = options;
    const buffer = EventBuffer.create(
      address === undefined ? 0 : (options.capacity ?? defaultCapacity),
    );
    // Derived from the wall clock, so that a restarted process continues above its earlier numbers.
    let sequence = Math.floor(clock.wallMs()) * sequencesPerMs;
    let sentSequence = 0;
    let connection: FrameConnection | undefined;
    let connecting: { readonly close: () => void } | undefined;
    let closed = false;

    const flush = (): void => {
      for (;;) {
        const events = buffer.batchAfter(sentSequence);
        const last = events.at(-1);
        if (last === undefined || connection === undefined) {
          return;
        }
        if (!connection.send({ kind: 'timeline-events', events } satisfies TimelineEvents)) {
          return;
        }
        sentSequence = last.sequence;
      }
    };

    const connect = (collectorAddress: CollectorAddress): void => {
      if (closed) {
        return;
      }
      connecting = connectFrames(
        collectorAddress,
        { secret, name: process },
        {
          onOpen: (opened) => {
            connection = opened;
            sentSequence = 0;
            flush();
          },
          onMessage: (_, message) => {
            const timelineMessage = readTimelineMessage(message);
            if (timelineMessage?.kind === 'timeline-accepted') {
              buffer.confirm(timelineMessage.sequence);
            }
          },
          onClose: () => {
            connection = undefined;
            clock.after(reconnectDelayMs, () => {
              connect(collectorAddress);
            });
          },
        },
      );
    };

    const stopFlushing = clock.every(flushIntervalMs, flush);
    if (address !== undefined) {
      connect(address);
    }
    return {
      emit: (name, fields = {}) => {
        sequence += 1;
        buffer.add({ time: hybridClock.now(), process, sequence, name, fields });
      },
      dropped: buffer.dropped,
      unconfirmed: buffer.size,
      close: () => {
        flush();
        closed = true;
        stopFlushing();
        if (connection === undefined) {
          connecting?.close();
        } else {
          connection.close();
        }
      },
    };
  },
};
