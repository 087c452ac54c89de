import { Random } from '@zinniagrade/clock';
import { deployments, engineCount } from '../load-model/deployments.js';
import { runModel } from '../load-model/run-model.js';
import type { LoadSimulation } from '../load-model/simulation.js';
import type { Measurement } from '../measurement.js';

/** Arrival rate, divided by the rate that the remaining engines sustain. */
const loadFactor = 0.8;
const firstLeavesAtMs = 50_000;
const allLeaveWithinMs = 60_000;
/** Time between the notice that a worker gets and its end. */
const noticeMs = 30_000;

/** Every second worker leaves at a random time that depends on the seed only, not on the policy. */
const createDepartures = (seed: number) => {
  const random = Random.create(seed + 2_000_000);
  const leavesAt = new Map<string, number>();
  return (simulation: LoadSimulation, now: number): void => {
    for (const [index, upstreamModel] of [...simulation.upstreamModels.values()].entries()) {
      if (index % 2 === 1) {
        const { id } = upstreamModel.upstream;
        const at = leavesAt.get(id) ?? firstLeavesAtMs + random() * (allLeaveWithinMs - noticeMs);
        leavesAt.set(id, at);
        upstreamModel.state = now < at ? 'up' : now < at + noticeMs ? 'leaving' : 'gone';
      }
    }
  };
};

/** Half of the model workers and of the application workers leave within 60 s. */
export const measurement: Measurement = {
  name: 'fleet-halved',
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
            engines: Math.ceil(engineCount(deployment) / 2),
            countFromMs: 40_000,
            countToMs: 140_000,
            drainMs: 240_000,
            beforeTick: createDepartures(seed),
          }).figures,
      ),
    ),
};
