/**
 * Estimates how many generations other nodes place while this node does not know of them yet. All
 * nodes serve a similar share of the callers, so the rate of this node stands for the others.
 */
export interface PlacementRate {
  readonly record: (nowMs: number) => void;
  /** Placements of the other nodes during the time that an announcement takes to arrive. */
  readonly unknownPlacements: (
    nowMs: number,
    nodeCount: number,
    announcementDelayMs: number,
  ) => number;
}

const windowMs = 10_000;

export const PlacementRate = {
  create: (): PlacementRate => {
    const timesMs: number[] = [];
    return {
      record: (nowMs) => {
        timesMs.push(nowMs);
      },
      unknownPlacements: (nowMs, nodeCount, announcementDelayMs) => {
        while ((timesMs[0] ?? nowMs) < nowMs - windowMs) {
          timesMs.shift();
        }
        const othersPerMs = (timesMs.length / windowMs) * Math.max(0, nodeCount - 1);
        return othersPerMs * announcementDelayMs;
      },
    };
  },
};
