import type { StreamEvent } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';

/** Tracks which events were sent to the caller of a stream, and when. */
export interface StreamProgress {
  /** Records an event; false if it was sent to the caller before. */
  readonly accept: (event: StreamEvent) => boolean;
  readonly events: () => number;
  /** Id of the last event sent to the caller. */
  readonly lastEventId: () => string | undefined;
  /** Records that the stream continues at another engine, to measure the pause. */
  readonly recordMove: () => void;
  /** Time to the first event and longest gap between events, in whole milliseconds. */
  readonly summary: () => { readonly firstEventMs: number; readonly longestGapMs: number };
}

export const StreamProgress = {
  create: (context: ServingContext, call: Call): StreamProgress => {
    const { clock, metrics } = context;
    let lastEventId: string | undefined;
    let events = 0;
    let firstEventMs: number | undefined;
    let lastEventAtMs = call.arrivedAtMs;
    let longestGapMs = 0;
    let movedAtMs: number | undefined;

    const recordEventTime = (): void => {
      const nowMs = clock.monotonicMs();
      if (firstEventMs === undefined) {
        firstEventMs = nowMs - call.arrivedAtMs;
        metrics.recordFirstEvent(call.route.name, firstEventMs);
      } else {
        longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
      }
      if (movedAtMs !== undefined) {
        metrics.recordMovePause('done', nowMs - movedAtMs);
        movedAtMs = undefined;
      }
      lastEventAtMs = nowMs;
    };

    return {
      accept: ({ id }) => {
        if (id !== undefined) {
          if (lastEventId !== undefined && Number(id) <= Number(lastEventId)) {
            return false;
          }
          lastEventId = id;
        }
        recordEventTime();
        events += 1;
        return true;
      },
      events: () => events,
      lastEventId: () => lastEventId,
      recordMove: () => {
        movedAtMs ??= lastEventAtMs;
      },
      summary: () => ({
        firstEventMs: Math.round(firstEventMs ?? 0),
        longestGapMs: Math.round(longestGapMs),
      }),
    };
  },
};
