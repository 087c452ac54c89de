/**
 * Tracks how often engines leave a service, and derives how much memory to keep in reserve.
 *
 * This is for engines that are reclaimed at short notice, one after the other, while the remaining
 * ones are full. The streams of a reclaimed engine are lost unless the others have free memory for
 * them.
 */
export interface Departures {
  /** Records that an engine began to leave or was lost; `engineCount` includes that engine. */
  readonly recordDeparture: (nowMs: number, engineCount: number) => void;
  /** Records how long a stream took that ran to its end. */
  readonly recordStreamDuration: (tookMs: number) => void;
  /** Share of the memory of all engines, 0 to 1, that new streams must leave free. */
  readonly reserveShare: (nowMs: number, engineCount: number) => number;
}

interface Departure {
  readonly atMs: number;
  readonly engineCount: number;
}

/** Departures older than this are dropped. */
const windowMs = 30_000;
/** Departures within this time form a group: their streams need new engines at the same time. */
const groupWindowMs = 1000;
/** Factor by which each new stream reduces the weight of all older ones. */
const streamDecayFactor = 0.95;

/** Size of the largest group of departures. */
const largestGroup = (departures: readonly Departure[]): number => {
  let largest = 0;
  for (const [index, first] of departures.entries()) {
    let count = 0;
    for (const { atMs } of departures.slice(index)) {
      if (atMs - first.atMs > groupWindowMs) {
        break;
      }
      count += 1;
    }
    largest = Math.max(largest, count);
  }
  return largest;
};

export const Departures = {
  create: (): Departures => {
    const departures: Departure[] = [];
    let sumMs = 0;
    let sumSquaredMs = 0;
    return {
      recordDeparture: (atMs, engineCount) => {
        departures.push({ atMs, engineCount });
      },
      recordStreamDuration: (tookMs) => {
        sumMs = streamDecayFactor * sumMs + tookMs;
        sumSquaredMs = streamDecayFactor * sumSquaredMs + tookMs * tookMs;
      },
      /**
       * A reserve keeps out its share of new streams; without one, the streams of leaving engines
       * are lost. Whichever loses fewer streams is chosen. With a single engine a reserve is
       * useless, as its streams have nowhere to move to.
       */
      reserveShare: (nowMs, engineCount) => {
        while ((departures[0]?.atMs ?? nowMs) < nowMs - windowMs) {
          departures.shift();
        }
        const oldest = departures[0];
        if (oldest === undefined || engineCount < 2) {
          return 0;
        }
        // Weighted by duration: at any time most running streams are long ones, even if most of all
        // streams are short.
        const streamMs = sumMs === 0 ? 0 : sumSquaredMs / sumMs;
        let departuresPerEngineMs = 0;
        for (const { engineCount: count } of departures) {
          departuresPerEngineMs += 1 / Math.max(1, count) / windowMs;
        }
        const lostShare = 1 - Math.exp(-departuresPerEngineMs * streamMs);
        const reserve = Math.min(1, largestGroup(departures) / engineCount);
        return reserve < lostShare ? reserve : 0;
      },
    };
  },
};
