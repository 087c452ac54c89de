import type { TimelineEvent } from '@zinniagrade/types';
import { maxEventBytes, maxEventsPerFrame } from './timeline-message.js';

/**
 * Bounded buffer of the events that the collector has not confirmed. An event that does not fit is
 * dropped and counted.
 */
export interface EventBuffer {
  readonly add: (event: TimelineEvent) => void;
  /** The oldest events after the sequence number, as many as one frame may hold. */
  readonly batchAfter: (sequence: number) => readonly TimelineEvent[];
  /** Removes the events up to and including the sequence number. */
  readonly confirm: (sequence: number) => void;
  readonly size: () => number;
  readonly dropped: () => number;
}

export const EventBuffer = {
  create: (capacity: number): EventBuffer => {
    let events: TimelineEvent[] = [];
    let dropped = 0;
    return {
      add: (event) => {
        if (events.length >= capacity || JSON.stringify(event).length > maxEventBytes) {
          dropped += 1;
          return;
        }
        events.push(event);
      },
      batchAfter: (sequence) => {
        const start = events.findIndex((event) => event.sequence > sequence);
        return start < 0 ? [] : events.slice(start, start + maxEventsPerFrame);
      },
      confirm: (sequence) => {
        events = events.filter((event) => event.sequence > sequence);
      },
      size: () => events.length,
      dropped: () => dropped,
    };
  },
};
