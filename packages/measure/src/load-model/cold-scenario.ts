import { Random } from '@zinniagrade/clock';
import type { Policy } from '../measurement.js';
import type { Deployment } from './deployments.js';
import { deployments } from './deployments.js';
import { ownerNodeOf } from './node-credits.js';
import { nodeFactoryFor } from './run-model.js';
import { createArrivals } from './workload.js';
import type { LoadSimulation } from './simulation.js';
import { runLoadSimulation, tickIntervalMs } from './simulation.js';

/** The engine that starts cold or turns cold. */
export const coldEngineId = 'engine-0';
export const joinsAtMs = 12_000;
const durationMs = 32_000;
/** Time after which the other nodes consider a dead or frozen node gone. */
const goneAfterMs = 3000;
/** Time within which a membership change reaches all nodes. */
const membershipSpreadMs = 500;

/**
 * After an engine has turned cold without notice, it can still get new work for this long: the age of
 * a load report (500 ms), the report interval (250 ms), the poll interval (500 ms) and the validity of
 * limits granted before (2 s), with 250 ms added.
 */
export const maxColdDetectionMs = 3250 + 250;

export interface ColdScenario {
  readonly nodes: number;
  /** Share of the messages between nodes that are lost. */
  readonly lostMessageShare: number;
  /** If true, the engine starts warm and turns cold; otherwise it joins cold. */
  readonly turnsCold: boolean;
  /**
   * What happens to the node that owns the engine, at a random time soon after the cold phase
   * begins.
   */
  readonly owner: 'stays' | 'is-killed' | 'freezes';
}

const deploymentFor = (nodes: number): Deployment => {
  const [firstDeployment] = deployments;
  if (firstDeployment === undefined) {
    throw new Error('no deployment is defined');
  }
  const upstreams = Object.values(firstDeployment.configuration.upstreams)
    .filter(({ kind }) => kind === 'engine')
    .slice(0, 4)
    .map((upstream) => ({ ...upstream, coldSlots: 2 }));
  return {
    ...firstDeployment,
    nodes,
    plainPerSecond: 1,
    // Mostly short outputs, so that each slot of the cold engine is reused many times.
    traffic: firstDeployment.traffic.map((entry) => ({
      ...entry,
      share: entry.service.class === 'short-generation' ? 0.95 : 0.05,
    })),
    configuration: {
      ...firstDeployment.configuration,
      upstreams: Object.fromEntries(upstreams.map((entry) => [entry.id, entry])),
    },
  };
};

/** Sets at every node, each after a random delay, which nodes it considers alive. */
const spreadMembership = (simulation: LoadSimulation, alive: readonly number[]): void => {
  for (let node = 0; node < simulation.deployment.nodes; node += 1) {
    simulation.runOnNode(node, simulation.random() * membershipSpreadMs, () => {
      simulation.aliveNodesSeen[node] = alive;
    });
  }
};

const createOwnerFault = (scenario: ColdScenario, random: () => number) => {
  const faultAtMs = joinsAtMs + Math.floor(random() * 400) * tickIntervalMs;
  const freezeMs = 3500 + random() * 3000;
  return (simulation: LoadSimulation, now: number): void => {
    if (scenario.owner === 'stays') {
      return;
    }
    const allNodes = Array.from({ length: simulation.deployment.nodes }, (_, node) => node);
    const owner = ownerNodeOf(simulation, coldEngineId, allNodes);
    if (now === faultAtMs) {
      simulation.frozenUntil[owner] = scenario.owner === 'freezes' ? now + freezeMs : Infinity;
    }
    if (now === faultAtMs + goneAfterMs) {
      spreadMembership(
        simulation,
        allNodes.filter((node) => node !== owner),
      );
    }
    const resumesAtMs =
      Math.ceil((faultAtMs + freezeMs + membershipSpreadMs) / tickIntervalMs) * tickIntervalMs;
    if (scenario.owner === 'freezes' && now === resumesAtMs) {
      spreadMembership(simulation, allNodes);
    }
  };
};

/**
 * Runs one scenario and returns the final simulation, which has the record of dispatches to the
 * cold engine.
 */
export const runColdScenario = (
  scenario: ColdScenario,
  seed: number,
  policy: Policy,
): LoadSimulation => {
  const random = Random.create(seed);
  const deployment = deploymentFor(scenario.nodes);
  const injectOwnerFault = createOwnerFault(scenario, random);
  const updateColdEngine = (simulation: LoadSimulation, now: number): void => {
    const upstreamModel = simulation.upstreamModels.get(coldEngineId);
    if (upstreamModel === undefined) {
      return;
    }
    if (!scenario.turnsCold) {
      upstreamModel.state = now < joinsAtMs ? 'absent' : 'up';
    } else if (now === joinsAtMs) {
      upstreamModel.engine?.turnCold();
      simulation.coldUndetectedUntil.set(coldEngineId, now + maxColdDetectionMs);
    }
  };
  return runLoadSimulation({
    deployment,
    random,
    lostMessageShare: scenario.lostMessageShare,
    durationMs,
    createNode: nodeFactoryFor(policy),
    arrivals: createArrivals(
      { deployment, generationsPerSecond: 12, durationMs, rateSwing: 0.2, swingPeriodMs: 20_000 },
      Random.create(seed + 1_000_000),
    ),
    engineSettings: (index) =>
      index === 0 ? { startsCold: !scenario.turnsCold, warmUpMs: 15_000 } : {},
    beforeTick: (simulation, now) => {
      updateColdEngine(simulation, now);
      injectOwnerFault(simulation, now);
    },
  });
};
