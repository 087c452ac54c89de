import { mkdirSync } from 'node:fs';
import { Random } from '@zinniagrade/clock';
import { findViolations, type Violation } from './checks.js';
import { apiKeys, Environment, exemptFromTiming, type EnvironmentOptions } from './environment.js';
import { planFaults, planStatementFaults, type Fault } from './fault-plan.js';
import { injectFault } from './inject-fault.js';
import { sleep } from './sleep.js';
import { Traffic } from './traffic.js';

export interface SoakOptions extends EnvironmentOptions {
  /** Period within which faults begin. */
  readonly faultPeriodMs: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
}

/** Time from the start of the gateways to the first request. */
const startupMs = 2500;
/** Time that requests go on after the last fault, in which the gateways must recover. */
const faultFreeMs = 7000;
/** Spreads the seeds: adjacent seeds of `Random` begin with nearly the same numbers. */
const seedStride = 0x9e3779b1;

/** Runs gateways and callers under the faults of one seed and checks what was observed. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  mkdirSync(options.folder, { recursive: true });
  const randomSeed = Math.imul(options.seed, seedStride);
  const random = Random.create(randomSeed);
  const environment = await Environment.create(options, Random.create(randomSeed + seedStride));
  const { observations, gateways, platform } = environment;
  const planOptions = {
    gatewayCount: gateways.length,
    workerCount: platform.workers.length,
    faultPeriodMs: options.faultPeriodMs,
  };
  const faults = [
    ...planFaults(random, planOptions),
    ...planStatementFaults(Random.create(randomSeed + 2 * seedStride), planOptions),
  ];
  try {
    for (const gateway of gateways) {
      gateway.start();
    }
    exemptFromTiming(environment, startupMs);
    await sleep(startupMs);
    const traffic = Traffic.create({ gateways, apiKeys, observations, random });
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(fault.atMs);
        await injectFault(environment, fault);
      }),
    );
    observations.faultsEndedAtMs = performance.now();
    await sleep(faultFreeMs);
    await traffic.stop();
    for (const gateway of gateways) {
      for (let exit = 0; exit < gateway.unexpectedExitCount(); exit += 1) {
        observations.unexpectedExits.push(gateway.node);
      }
    }
  } finally {
    await environment.close();
  }
  return {
    seed: options.seed,
    requests: observations.requests.length,
    served: observations.requests.filter(({ answer }) => answer.status === 200 && answer.complete)
      .length,
    faults,
    violations: findViolations(observations),
  };
};
