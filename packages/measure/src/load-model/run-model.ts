import { Random } from '@zinniagrade/clock';
import type { Figures, Policy } from '../measurement.js';
import { createCurrentPolicy } from './current-node.js';
import type { Deployment } from './deployments.js';
import { createNaiveNode } from './naive-node.js';
import { createOraclePolicy } from './oracle-node.js';
import { createArrivals, sustainedPerSecond } from './workload.js';
import type { CreateNode, LoadSimulation, LoadSimulationOptions } from './simulation.js';
import { runLoadSimulation } from './simulation.js';

export const nodeFactoryFor = (policy: Policy): CreateNode => {
  switch (policy) {
    case 'naive':
      return createNaiveNode;
    case 'oracle':
      return createOraclePolicy();
    case 'current':
      return createCurrentPolicy();
  }
};

export interface ModelRunOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly policy: Policy;
  /** Arrival rate of generations, divided by the rate that `engines` engines sustain. */
  readonly loadFactor: number;
  readonly engines: number;
  readonly rateSwing?: number;
  /** Only requests that arrive between these two times are counted. */
  readonly countFromMs: number;
  readonly countToMs: number;
  /** Time without new arrivals for the counted requests to end. */
  readonly drainMs: number;
  readonly engineSettings?: NonNullable<LoadSimulationOptions['engineSettings']>;
  readonly beforeTick?: NonNullable<LoadSimulationOptions['beforeTick']>;
}

/**
 * Simulates one deployment under one policy. The arrivals depend on the seed only, not on the
 * policy.
 */
export const runModel = (
  options: ModelRunOptions,
): { readonly simulation: LoadSimulation; readonly figures: Figures } => {
  const arrivals = createArrivals(
    {
      deployment: options.deployment,
      generationsPerSecond:
        options.loadFactor * sustainedPerSecond(options.deployment, options.engines),
      durationMs: options.countToMs,
      rateSwing: options.rateSwing ?? 0.2,
      swingPeriodMs: 20_000,
    },
    Random.create(options.seed),
  );
  let preemptionsBefore = 0;
  const simulation = runLoadSimulation({
    deployment: options.deployment,
    random: Random.create(options.seed + 1_000_000),
    arrivals,
    durationMs: options.countToMs + options.drainMs,
    createNode: nodeFactoryFor(options.policy),
    ...(options.engineSettings === undefined ? {} : { engineSettings: options.engineSettings }),
    beforeTick: (runningSimulation, now) => {
      preemptionsBefore =
        now <= options.countFromMs ? runningSimulation.preemptions() : preemptionsBefore;
      options.beforeTick?.(runningSimulation, now);
    },
  });
  const figures = simulation.outcomes.figures(options.countFromMs, options.countToMs);
  return {
    simulation,
    figures: {
      deployment: options.deployment.name,
      ...figures,
      preemptions: simulation.preemptions() - preemptionsBefore,
    },
  };
};
