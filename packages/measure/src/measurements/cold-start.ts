import { deployments, engineCount } from '../load-model/deployments.js';
import { runModel } from '../load-model/run-model.js';
import { ShareMonitor } from '../load-model/share-monitor.js';
import type { Figures, Measurement } from '../measurement.js';

/** Arrival rate, divided by the rate that the warm engines sustain without the two new ones. */
const loadFactor = 0.9;
const joinsAtMs = 40_000;
const newEngines = ['engine-0', 'engine-1'];

/** Two cold engines join while the others are busy. */
export const measurement: Measurement = {
  name: 'cold-start',
  policies: ['naive', 'current', 'oracle'],
  defaultSeeds: 10,
  run: ({ seed, policy }) =>
    Promise.resolve(
      deployments.map((deployment): Figures => {
        const shareMonitor = ShareMonitor.create(newEngines, joinsAtMs);
        const { simulation, figures } = runModel({
          deployment,
          seed,
          policy,
          loadFactor,
          engines: engineCount(deployment) - newEngines.length,
          countFromMs: joinsAtMs,
          countToMs: 110_000,
          drainMs: 120_000,
          engineSettings: (index) => ({ startsCold: index < newEngines.length }),
          beforeTick: (runningSimulation, now) => {
            for (const id of newEngines) {
              const upstreamModel = runningSimulation.upstreamModels.get(id);
              if (upstreamModel !== undefined) {
                upstreamModel.state = now < joinsAtMs ? 'absent' : 'up';
              }
            }
            shareMonitor.sample(runningSimulation, now);
          },
        });
        return {
          ...figures,
          cold_most_in_flight_over_bears: simulation.coldDispatches.maxLoadRatio,
          cold_batches_failed: simulation.coldDispatches.failures,
          ...shareMonitor.figures(),
        };
      }),
    ),
};
