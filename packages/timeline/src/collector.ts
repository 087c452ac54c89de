import type { Clock } from '@zinniagrade/clock';
import { type FrameConnection, listenFrames } from '@zinniagrade/frames';
import type { Milliseconds, TimelineEvent } from '@zinniagrade/types';
import { compareEvents, EventLog } from './event-log.js';
import {
  maxEventsPerFrame,
  readTimelineMessage,
  type TimelineAccepted,
  type TimelineEvents,
} from './timeline-message.js';

/**
 * New events are held this long before they are sent to followers, so that they can be sorted with
 * those of other processes. Twice the flush interval of a sender, plus an allowance for the network.
 */
const orderingDelayMs = 500;
const releaseIntervalMs = 100;

export interface CollectorOptions {
  readonly listen: { readonly host: string; readonly port: number };
  readonly secret: string;
  readonly name: string;
  readonly keepEvents: number;
  readonly clock: Clock;
}

export interface Collector {
  readonly port: number;
  readonly close: () => Promise<void>;
}

interface PendingEvent {
  readonly event: TimelineEvent;
  readonly arrivedAt: Milliseconds;
}

const sendInBatches = (follower: FrameConnection, events: readonly TimelineEvent[]): void => {
  for (let start = 0; start < events.length; start += maxEventsPerFrame) {
    const batch = events.slice(start, start + maxEventsPerFrame);
    follower.send({ kind: 'timeline-events', events: batch } satisfies TimelineEvents);
  }
};

export const Collector = {
  /** Listens; rejects when the port is in use. */
  create: async (options: CollectorOptions): Promise<Collector> => {
    const { clock } = options;
    const log = EventLog.create(options.keepEvents);
    const followers = new Set<FrameConnection>();
    let pending: readonly PendingEvent[] = [];

    const accept = (connection: FrameConnection, events: readonly TimelineEvent[]): void => {
      const newEvents = events.filter(
        (event) => event.process === connection.peer && log.add(event),
      );
      const arrivedAt = clock.monotonicMs();
      pending = [...pending, ...newEvents.map((event) => ({ event, arrivedAt }))];
      const sequence = log.lastSequence(connection.peer);
      connection.send({ kind: 'timeline-accepted', sequence } satisfies TimelineAccepted);
    };

    const release = (): void => {
      const latestArrival = clock.monotonicMs() - orderingDelayMs;
      const due = pending
        .filter(({ arrivedAt }) => arrivedAt <= latestArrival)
        .map(({ event }) => event);
      if (due.length === 0) {
        return;
      }
      pending = pending.filter(({ arrivedAt }) => arrivedAt > latestArrival);
      const sorted = due.sort(compareEvents);
      for (const follower of followers) {
        sendInBatches(follower, sorted);
      }
    };

    const server = await listenFrames(
      options.listen,
      { secret: options.secret, name: options.name },
      {
        onOpen: () => undefined,
        onMessage: (connection, message) => {
          const timelineMessage = readTimelineMessage(message);
          if (timelineMessage === undefined) {
            connection.close();
          } else if (timelineMessage.kind === 'timeline-events') {
            accept(connection, timelineMessage.events);
          } else if (timelineMessage.kind === 'timeline-follow') {
            const pendingEvents = new Set(pending.map(({ event }) => event));
            sendInBatches(
              connection,
              log.eventsAfter(timelineMessage.after).filter((event) => !pendingEvents.has(event)),
            );
            followers.add(connection);
          }
        },
        onClose: (connection) => {
          if (connection !== undefined) {
            followers.delete(connection);
          }
        },
      },
    );
    const stopReleasing = clock.every(releaseIntervalMs, release);
    return {
      port: server.port,
      close: () => {
        stopReleasing();
        return server.close();
      },
    };
  },
};
