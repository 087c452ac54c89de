import type { Figures } from '../measurement.js';
import type { LoadSimulation } from './simulation.js';

/**
 * A new engine carries its share at this fraction of the mean number of running requests of the
 * other engines.
 */
const sufficientShare = 0.7;
const sampleIntervalMs = 250;

/** Measures the time until new engines carry their share of the work. */
export interface ShareMonitor {
  readonly sample: (simulation: LoadSimulation, now: number) => void;
  readonly figures: () => Figures;
}

export const ShareMonitor = {
  create: (engines: readonly string[], joinedAtMs: number): ShareMonitor => {
    const reachedAt = new Map<string, number>();
    const running = (simulation: LoadSimulation, id: string): number =>
      simulation.upstreamModels.get(id)?.engine?.load().running ?? 0;
    return {
      sample: (simulation, now) => {
        if (now < joinedAtMs || now % sampleIntervalMs !== 0) {
          return;
        }
        const others = [...simulation.upstreamModels.values()].filter(
          ({ upstream, engine }) => engine !== undefined && !engines.includes(upstream.id),
        );
        const mean =
          others.reduce((sum, { upstream }) => sum + running(simulation, upstream.id), 0) /
          Math.max(1, others.length);
        for (const id of engines) {
          if (!reachedAt.has(id) && mean > 0 && running(simulation, id) >= sufficientShare * mean) {
            reachedAt.set(id, now);
          }
        }
      },
      figures: () => ({
        engines_that_reached_their_share: reachedAt.size,
        time_to_share_s:
          reachedAt.size < engines.length
            ? 'not reached'
            : (Math.max(...reachedAt.values()) - joinedAtMs) / 1000,
      }),
    };
  },
};
