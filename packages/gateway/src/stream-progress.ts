import type { StreamEvent } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';

/** What the caller of a stream has been sent, and how it was paced. */
export interface StreamProgress {
  /** False for an event that the caller has already. */
  readonly accept: (event: StreamEvent) => boolean;
  readonly events: () => number;
  /** Id of the last event that was sent. */
  readonly lastEvent: () => string | undefined;
  /** Notes that the stream goes on at another engine. */
  readonly noteMove: () => void;
  /** Figures of a stream that is over, in milliseconds. */
  readonly summary: () => { readonly firstEventMs: number; readonly longestGapMs: number };
}

export const StreamProgress = {
  create: (context: ServingContext, call: Call): StreamProgress => {
    const { clock, metrics } = context;
    let lastEvent: string | undefined;
    let events = 0;
    let firstEventMs: number | undefined;
    let lastEventAtMs = call.arrivedAtMs;
    let longestGapMs = 0;
    let movedAtMs: number | undefined;

    const notePace = (): void => {
      const nowMs = clock.monotonicMs();
      if (firstEventMs === undefined) {
        firstEventMs = nowMs - call.arrivedAtMs;
        metrics.firstEvent(call.route.name, firstEventMs);
      } else {
        longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
      }
      if (movedAtMs !== undefined) {
        metrics.moved('done', nowMs - movedAtMs);
        movedAtMs = undefined;
      }
      lastEventAtMs = nowMs;
    };

    return {
      accept: ({ id }) => {
        if (id !== undefined) {
          if (lastEvent !== undefined && Number(id) <= Number(lastEvent)) {
            return false;
          }
          lastEvent = id;
        }
        notePace();
        events += 1;
        return true;
      },
      events: () => events,
      lastEvent: () => lastEvent,
      noteMove: () => {
        movedAtMs ??= lastEventAtMs;
      },
      summary: () => ({
        firstEventMs: Math.round(firstEventMs ?? 0),
        longestGapMs: Math.round(longestGapMs),
      }),
    };
  },
};
