import { deployments, engineCount } from '../load-model/deployments.js';
import { runModel } from '../load-model/run-model.js';
import type { Measurement } from '../measurement.js';

/** Arrival rate, divided by the rate that the engines sustain with their memory full all the time. */
const loadFactor = 1;

/** Warm engines near their capacity, in both deployments, on a virtual clock. */
export const measurement: Measurement = {
  name: 'crowded-engines',
  policies: ['naive', 'current', 'oracle'],
  defaultSeeds: 10,
  run: ({ seed, policy }) =>
    Promise.resolve(
      deployments.map(
        (deployment) =>
          runModel({
            deployment,
            seed,
            policy,
            loadFactor,
            engines: engineCount(deployment),
            countFromMs: 60_000,
            countToMs: 120_000,
            drainMs: 240_000,
          }).figures,
      ),
    ),
};
