/**
 * How engines leave a service. Load pattern: engines that are reclaimed at short notice, one after
 * the other, while the rest is full: what ran there is lost unless the others have memory left.
 */
export interface Departures {
  /** Notes that an engine began to leave or was lost, with the number of engines before. */
  readonly note: (nowMs: number, engineCount: number) => void;
  /** Notes how long a complete stream took. */
  readonly noteStream: (tookMs: number) => void;
  /** Share of the engines' memory, 0 to 1, that new streams leave free. */
  readonly reserveShare: (nowMs: number, engineCount: number) => number;
}

interface Departure {
  readonly atMs: number;
  readonly engineCount: number;
}

/** Departures count for this long. */
const windowMs = 30_000;
/** Departures within this time are one event: their streams need new engines together. */
const togetherMs = 1000;
/** What older streams keep of their weight with each newer one. */
const keptWeight = 0.95;

/** The largest number of departures that came together. */
const largestGroup = (departures: readonly Departure[]): number => {
  let largest = 0;
  for (const [index, first] of departures.entries()) {
    let count = 0;
    for (const { atMs } of departures.slice(index)) {
      if (atMs - first.atMs > togetherMs) {
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
      note: (atMs, engineCount) => {
        departures.push({ atMs, engineCount });
      },
      noteStream: (tookMs) => {
        sumMs = keptWeight * sumMs + tookMs;
        sumSquaredMs = keptWeight * sumSquaredMs + tookMs * tookMs;
      },
      /**
       * A reserve costs its share of all streams; without one, streams whose engine leaves are lost.
       * The smaller loss is chosen. A single engine has nowhere to move its streams to.
       */
      reserveShare: (nowMs, engineCount) => {
        while ((departures[0]?.atMs ?? nowMs) < nowMs - windowMs) {
          departures.shift();
        }
        const oldest = departures[0];
        if (oldest === undefined || engineCount < 2) {
          return 0;
        }
        // Weighted by duration: most of what runs at a moment is long, also where short ones are many.
        const streamMs = sumMs === 0 ? 0 : sumSquaredMs / sumMs;
        let perEngineMs = 0;
        for (const { engineCount: count } of departures) {
          perEngineMs += 1 / Math.max(1, count) / windowMs;
        }
        const lostShare = 1 - Math.exp(-perEngineMs * streamMs);
        const reserve = Math.min(1, largestGroup(departures) / engineCount);
        return reserve < lostShare ? reserve : 0;
      },
    };
  },
};
