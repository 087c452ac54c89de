import type { StreamEvent } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';

/** Tracks which events were sent to the caller of a stream, and when. */
export interface StreamProgress {
  /** Records an event; false if the caller has it already. */
  readonly accept: (event: StreamEvent) => boolean;
  /** Events that the caller has, including those from before it resumed the stream. */
  readonly events: () => number;
  /** Id of the last event that the caller has. */
  readonly lastEventId: () => string | undefined;
  /** When the caller got its last event, or sent the request. */
  readonly lastEventAtMs: () => number;
  /** Records that an engine was lost within an event, so that another one has to send it. */
  readonly recordPartialEvent: () => void;
  /** Whether an event that an engine had begun has not arrived since. */
  readonly awaitsEvent: () => boolean;
  /** Records that the stream continues at another engine, to measure the pause. */
  readonly recordMove: () => void;
  /** Time to the first event and longest gap between events, in whole milliseconds. */
  readonly summary: () => { readonly firstEventMs: number; readonly longestGapMs: number };
}

export const StreamProgress = {
  create: (context: ServingContext, call: Call): StreamProgress => {
    const { clock, metrics } = context;
    let lastEventId = call.resumeAfter;
    let events = lastEventId === undefined ? 0 : Number(lastEventId);
    let firstEventMs: number | undefined;
    let lastEventAtMs = call.arrivedAtMs;
    let longestGapMs = 0;
    let movedAtMs: number | undefined;
    let awaitsEvent = false;

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
        if (id === undefined && lastEventId !== undefined) {
          // A comment between events; it is forwarded, but it is no progress.
          return true;
        }
        if (id !== undefined) {
          if (lastEventId !== undefined && Number(id) <= Number(lastEventId)) {
            return false;
          }
          lastEventId = id;
          awaitsEvent = false;
        }
        recordEventTime();
        events += 1;
        return true;
      },
      events: () => events,
      lastEventId: () => lastEventId,
      lastEventAtMs: () => lastEventAtMs,
      recordPartialEvent: () => {
        awaitsEvent = true;
      },
      awaitsEvent: () => awaitsEvent,
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
