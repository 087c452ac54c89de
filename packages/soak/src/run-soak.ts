import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Random } from '@zinniagrade/clock';
import { findFreePort } from '@zinniagrade/free-ports';
import {
  SoakPlatform,
  soakBounds,
  writeSettingsFile,
} from '@zinniagrade/platform-adapter/standins';
import { findViolations, type Violation } from './checks.js';
import { planFaults, type Fault } from './fault-plan.js';
import { GatewayProcess } from './gateway-process.js';
import { Observations } from './observations.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { Traffic } from './traffic.js';

export interface SoakOptions {
  readonly seed: number;
  /** Period within which faults begin. */
  readonly faultPeriodMs: number;
  /** Path of the compiled gateway. */
  readonly program: string;
  /** Folder for the settings files and logs of the gateways. */
  readonly folder: string;
}

export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
}

const gatewaysPerRun = 4;
/** Time from the start of the gateways to the first request. */
const startupMs = 2500;
/** Time that requests go on after the last fault, in which the gateways must recover. */
const faultFreeMs = 7000;
const restartDelayMs = 200;
/** Spreads the seeds: adjacent seeds of `Random` begin with nearly the same numbers. */
const seedStride = 0x9e3779b1;
const shutdownGraceMs = soakBounds.graceS * 1000;
const apiKeys = ['key-1', 'key-2', 'key-3'] as const;
const apiKeyCount = 3;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface Environment {
  readonly platform: SoakPlatform;
  readonly gateways: readonly GatewayProcess[];
  readonly storeProxies: readonly LoopbackProxy[];
  readonly workerProxies: readonly LoopbackProxy[];
  readonly observations: Observations;
  revokedKeyCount: number;
  configurationVersion: number;
}

/**
 * The loopback address for the gateways of one seed in this process. On a shared address another
 * process can take a gateway's port while the gateway is down, and the restart then fails.
 */
const hostForSeed = (seed: number): string =>
  `127.${String(1 + (process.pid % 250))}.${String(seed % 250)}.1`;

const reservedAddresses = new Set<string>();

/** A free address that no gateway in this process was given before. */
const reserveAddress = async (host: string): Promise<string> => {
  for (;;) {
    const address = `${host}:${String(await findFreePort(host))}`;
    if (!reservedAddresses.has(address)) {
      reservedAddresses.add(address);
      return address;
    }
  }
};

const createEnvironment = async (options: SoakOptions, random: Random): Promise<Environment> => {
  const observations = Observations.create();
  const platform = await SoakPlatform.create((run) => observations.workerRuns.push(run), random);
  platform.configure(1, apiKeys);
  const workerProxies: LoopbackProxy[] = [];
  for (const { standin } of platform.workers) {
    const proxy = await LoopbackProxy.create(standin.address);
    workerProxies.push(proxy);
    platform.register(standin.id, proxy.address, 'ready');
  }
  const host = hostForSeed(options.seed);
  const gateways: GatewayProcess[] = [];
  const storeProxies: LoopbackProxy[] = [];
  for (let index = 0; index < gatewaysPerRun; index += 1) {
    const node = `gateway-${String(index)}`;
    const proxy = await LoopbackProxy.create(platform.store.address);
    storeProxies.push(proxy);
    const addresses = {
      caller: await reserveAddress(host),
      ready: await reserveAddress(host),
      directory: await reserveAddress(host),
      nodes: await reserveAddress(host),
    };
    gateways.push(
      GatewayProcess.create({
        node,
        callerAddress: addresses.caller,
        program: options.program,
        settingsFile: join(options.folder, `${node}.json`),
        settings: writeSettingsFile(node, index, addresses, proxy.address),
        logFile: join(options.folder, `${node}.log`),
      }),
    );
  }
  return {
    platform,
    gateways,
    storeProxies,
    workerProxies,
    observations,
    revokedKeyCount: 0,
    configurationVersion: 1,
  };
};

const elementAt = <Value>(values: readonly Value[], index: number): Value => {
  const value = values[index];
  if (value === undefined) {
    throw new Error(`no element at index ${String(index)}`);
  }
  return value;
};

/** Exempts one gateway, or all without `gateway`, from timing bounds for `forMs` from now. */
const exemptFromTiming = (environment: Environment, forMs: number, gateway?: string): void => {
  const fromMs = performance.now();
  environment.observations.timingExemptions.push({
    ...(gateway === undefined ? {} : { gateway }),
    fromMs,
    toMs: fromMs + forMs,
  });
};

const restartGateway = async (gateway: GatewayProcess, signal: NodeJS.Signals): Promise<void> => {
  gateway.signal(signal);
  const killTimer = setTimeout(() => {
    gateway.signal('SIGKILL');
  }, shutdownGraceMs);
  await gateway.exited();
  clearTimeout(killTimer);
  await sleep(restartDelayMs);
  gateway.start();
};

const drainWorker = async (
  environment: Environment,
  fault: Fault & { readonly worker: number },
): Promise<void> => {
  const { standin } = elementAt(environment.platform.workers, fault.worker);
  const { address } = elementAt(environment.workerProxies, fault.worker);
  const drainPeriod = { worker: standin.id, fromMs: performance.now(), toMs: Infinity };
  if (
    environment.observations.drainPeriods.some(
      ({ worker, toMs }) => worker === standin.id && toMs === Infinity,
    )
  ) {
    return;
  }
  environment.observations.drainPeriods.push(drainPeriod);
  environment.platform.register(standin.id, address, 'draining');
  await sleep(soakBounds.drainMs + fault.forMs);
  drainPeriod.toMs = performance.now();
  environment.platform.register(standin.id, address, 'ready');
};

/** Revokes the next API key; the first one always stays valid, so that requests can be served. */
const revokeNextKey = (environment: Environment): void => {
  if (environment.revokedKeyCount >= apiKeyCount - 1) {
    return;
  }
  environment.revokedKeyCount += 1;
  environment.configurationVersion += 1;
  environment.observations.keyRevokedAtMs.set(
    elementAt(apiKeys, environment.revokedKeyCount),
    performance.now(),
  );
  environment.platform.configure(
    environment.configurationVersion,
    apiKeys.filter((key) => !environment.observations.keyRevokedAtMs.has(key)),
  );
};

const injectGatewayFault = async (
  environment: Environment,
  fault: Extract<Fault, { readonly gateway: number }>,
): Promise<void> => {
  const gateway = elementAt(environment.gateways, fault.gateway);
  exemptFromTiming(environment, fault.forMs + shutdownGraceMs, gateway.node);
  switch (fault.kind) {
    case 'kill':
      await restartGateway(gateway, 'SIGKILL');
      return;
    case 'terminate':
      await restartGateway(gateway, 'SIGTERM');
      return;
    case 'pause':
      gateway.signal('SIGSTOP');
      await sleep(fault.forMs);
      gateway.signal('SIGCONT');
      return;
    case 'store-link': {
      const proxy = elementAt(environment.storeProxies, fault.gateway);
      proxy.setFault(fault.link);
      await sleep(fault.forMs);
      proxy.setFault('none');
    }
  }
};

const injectWorkerFault = async (
  environment: Environment,
  fault: Extract<Fault, { readonly worker: number }>,
): Promise<void> => {
  const { faults } = elementAt(environment.platform.workers, fault.worker);
  switch (fault.kind) {
    case 'worker-link': {
      const proxy = elementAt(environment.workerProxies, fault.worker);
      // The proxy delivers bytes late that the gateway sent in time.
      exemptFromTiming(environment, fault.forMs);
      proxy.setFault(fault.link);
      await sleep(fault.forMs);
      proxy.setFault('none');
      return;
    }
    case 'worker-leaves':
      await drainWorker(environment, fault);
      return;
    case 'answers-lost':
      faults.lostResponseShare = 0.3;
      await sleep(fault.forMs);
      faults.lostResponseShare = 0;
      return;
    case 'errors':
      faults.errorResponseShare = 0.5;
      await sleep(fault.forMs);
      faults.errorResponseShare = 0;
  }
};

const injectFault = async (environment: Environment, fault: Fault): Promise<void> => {
  if ('gateway' in fault) {
    await injectGatewayFault(environment, fault);
    return;
  }
  if ('worker' in fault) {
    await injectWorkerFault(environment, fault);
    return;
  }
  const { faults } = environment.platform.store;
  switch (fault.kind) {
    case 'store-away':
      exemptFromTiming(environment, fault.forMs);
      faults.unavailable = true;
      await sleep(fault.forMs);
      faults.unavailable = false;
      return;
    case 'store-loses-replies':
      exemptFromTiming(environment, fault.forMs);
      faults.dropsReplies = true;
      await sleep(fault.forMs);
      faults.dropsReplies = false;
      return;
    case 'store-forgets':
      environment.platform.store.compactHistory();
      return;
    case 'revoke':
      revokeNextKey(environment);
  }
};

/** Runs gateways and callers under the faults of one seed and checks what was observed. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  mkdirSync(options.folder, { recursive: true });
  const randomSeed = Math.imul(options.seed, seedStride);
  const random = Random.create(randomSeed);
  const environment = await createEnvironment(options, Random.create(randomSeed + seedStride));
  const { observations, gateways, platform } = environment;
  const faults = planFaults(random, {
    gatewayCount: gatewaysPerRun,
    workerCount: platform.workers.length,
    faultPeriodMs: options.faultPeriodMs,
  });
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
    for (const gateway of gateways) {
      gateway.signal('SIGKILL');
      await gateway.exited();
    }
    for (const proxy of [...environment.storeProxies, ...environment.workerProxies]) {
      proxy.close();
    }
    await platform.close();
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
