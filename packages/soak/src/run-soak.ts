import { mkdirSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { Random } from '@zinniagrade/clock';
import { findViolations } from './checks.js';
import { apiKeys, Environment, exemptFromTiming, type EnvironmentOptions } from './environment.js';
import type { Fault } from './fault-plan.js';
import type { ProcessRecord } from './gateway-run.js';
import { injectFault } from './inject-fault.js';
import { groupsOfSeed, planForSeed, seedStride, type FaultGroup } from './plan-for-seed.js';
import { sleep } from './sleep.js';
import { shutdownGraceMs } from './stop-run.js';
import { Traffic } from './traffic.js';
import type { Violation } from './violation.js';

export interface SoakOptions extends EnvironmentOptions {
  /** Period within which faults begin. */
  readonly faultPeriodMs: number;
  /** Faults to inject; if absent, they follow from the seed. */
  readonly groups?: readonly FaultGroup[];
}

export interface SoakResult {
  readonly seed: number;
  readonly groups: readonly FaultGroup[];
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
  readonly processes: readonly ProcessRecord[];
  /** Longest time for which the soak itself could not run; its measured times are late by as much. */
  readonly maxOwnDelayMs: number;
}

/** Time from the start of the gateways to the first request. */
const startupMs = 2500;
const nanosecondsPerMs = 1e6;
/** Time that requests go on after the last fault, in which the gateways must recover. */
const faultFreeMs = 7000;

/** Runs gateways and callers under the faults of one seed and checks what was observed. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const ownDelay = monitorEventLoopDelay();
  ownDelay.enable();
  mkdirSync(options.folder, { recursive: true });
  const randomSeed = Math.imul(options.seed, seedStride);
  const environment = await Environment.create(options, Random.create(randomSeed + seedStride));
  const { observations, gateways, platform } = environment;
  const groups = options.groups ?? groupsOfSeed(options.seed);
  const faults = planForSeed(options.seed, groups, {
    gatewayCount: gateways.length,
    workerCount: platform.workers.length,
    faultPeriodMs: options.faultPeriodMs,
    graceMs: shutdownGraceMs,
  });
  try {
    for (const gateway of gateways) {
      gateway.start();
    }
    exemptFromTiming(environment, startupMs);
    await sleep(startupMs);
    const traffic = Traffic.create({
      gateways,
      apiKeys,
      observations,
      random: Random.create(randomSeed),
    });
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
      observations.processes.push(...gateway.records());
    }
  } finally {
    await environment.close();
  }
  return {
    seed: options.seed,
    groups,
    requests: observations.requests.length,
    served: observations.requests.filter(({ answer }) => answer.status === 200 && answer.complete)
      .length,
    faults,
    violations: findViolations(observations),
    processes: observations.processes,
    maxOwnDelayMs: Math.round(ownDelay.max / nanosecondsPerMs),
  };
};
