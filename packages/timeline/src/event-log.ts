import { compareHybridTimes } from '@zinniagrade/clock';
import type { HybridTime, TimelineEvent } from '@zinniagrade/types';

/** Order of the timeline: hybrid time, then process name, then sequence number. */
export const compareEvents = (a: TimelineEvent, b: TimelineEvent): number =>
  compareHybridTimes(a.time, b.time) ||
  (a.process < b.process ? -1 : a.process > b.process ? 1 : a.sequence - b.sequence);

/** The newest events of all processes in order, and the last sequence number of each process. */
export interface EventLog {
  /** False if the log has already received the event. */
  readonly add: (event: TimelineEvent) => boolean;
  readonly eventsAfter: (time?: HybridTime) => readonly TimelineEvent[];
  readonly lastSequence: (process: string) => number;
}

export const EventLog = {
  create: (keepEvents: number): EventLog => {
    const events: TimelineEvent[] = [];
    const lastSequences = new Map<string, number>();

    /** Events arrive nearly in order, so the position is searched from the end. */
    const insert = (event: TimelineEvent): void => {
      let index = events.length;
      for (; index > 0; index -= 1) {
        const previous = events[index - 1];
        if (previous === undefined || compareEvents(previous, event) <= 0) {
          break;
        }
      }
      events.splice(index, 0, event);
      if (events.length > keepEvents) {
        events.shift();
      }
    };

    return {
      add: (event) => {
        if (event.sequence <= (lastSequences.get(event.process) ?? -1)) {
          return false;
        }
        lastSequences.set(event.process, event.sequence);
        insert(event);
        return true;
      },
      eventsAfter: (time) =>
        time === undefined
          ? [...events]
          : events.filter((event) => compareHybridTimes(event.time, time) > 0),
      lastSequence: (process) => lastSequences.get(process) ?? -1,
    };
  },
};
