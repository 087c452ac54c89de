import type { Clock } from '@zinniagrade/clock';

/** Durations of the requests of each route: of those that ended lately, and of those still open. */
export interface RouteDurations {
  /**
   * Records the start of a request; returns a function to be called once, at its end, with whether
   * the request was served.
   */
  readonly start: (route: string) => (served: boolean) => void;
  /** The longest duration, in milliseconds; undefined if too few requests were served lately. */
  readonly longestMs: (route: string) => number | undefined;
}

/** Durations count for one to two windows. */
const windowMs = 15_000;
const minServed = 5;

interface Window {
  longestMs: number;
  served: number;
}

interface RouteRecord {
  /** Starts of open requests; the oldest is the first. */
  readonly open: Set<{ readonly atMs: number }>;
  current: Window;
  previous: Window;
  windowEndsAtMs: number;
}

const createWindow = (): Window => ({ longestMs: 0, served: 0 });

export const RouteDurations = {
  create: (clock: Clock): RouteDurations => {
    const records = new Map<string, RouteRecord>();

    const recordOf = (route: string): RouteRecord => {
      const nowMs = clock.monotonicMs();
      let record = records.get(route);
      if (record === undefined) {
        record = {
          open: new Set(),
          current: createWindow(),
          previous: createWindow(),
          windowEndsAtMs: nowMs + windowMs,
        };
        records.set(route, record);
      }
      if (nowMs >= record.windowEndsAtMs) {
        const isStale = nowMs >= record.windowEndsAtMs + windowMs;
        record.previous = isStale ? createWindow() : record.current;
        record.current = createWindow();
        record.windowEndsAtMs = nowMs + windowMs;
      }
      return record;
    };

    return {
      start: (route) => {
        const { open } = recordOf(route);
        const entry = { atMs: clock.monotonicMs() };
        open.add(entry);
        return (served) => {
          open.delete(entry);
          const { current } = recordOf(route);
          current.longestMs = Math.max(current.longestMs, clock.monotonicMs() - entry.atMs);
          current.served += served ? 1 : 0;
        };
      },
      longestMs: (route) => {
        const { open, current, previous } = recordOf(route);
        if (current.served + previous.served < minServed) {
          return undefined;
        }
        const [oldest] = open;
        const openForMs = oldest === undefined ? 0 : clock.monotonicMs() - oldest.atMs;
        return Math.max(openForMs, current.longestMs, previous.longestMs);
      },
    };
  },
};
