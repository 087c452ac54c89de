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
import { Ledger } from './ledger.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { Traffic } from './traffic.js';

export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
  /** Compiled program of the gateway. */
  readonly program: string;
  /** Folder for settings and logs. */
  readonly folder: string;
}

export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
}

const gatewayCount = 4;
const startMs = 2500;
const quietMs = 7000;
const restartMs = 200;
/** Seeds that lie close together begin with nearly the same numbers. */
const seedSpread = 0x9e3779b1;
const graceMs = soakBounds.graceS * 1000;
const keys = ['key-1', 'key-2', 'key-3'] as const;
const allKeys = 3;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface Stage {
  readonly platform: SoakPlatform;
  readonly gateways: readonly GatewayProcess[];
  readonly storeProxies: readonly LoopbackProxy[];
  readonly workerProxies: readonly LoopbackProxy[];
  readonly ledger: Ledger;
  revocations: number;
  version: number;
}

/**
 * A loopback address for the gateways of one seed in this process. Ports of an address that others
 * use too are taken while a gateway is down, and it can't start again.
 */
const hostOf = (seed: number): string =>
  `127.${String(1 + (process.pid % 250))}.${String(seed % 250)}.1`;

const chosenAddresses = new Set<string>();

const freeAddress = async (host: string): Promise<string> => {
  for (;;) {
    const address = `${host}:${String(await findFreePort(host))}`;
    if (!chosenAddresses.has(address)) {
      chosenAddresses.add(address);
      return address;
    }
  }
};

const createStage = async (options: SoakOptions, random: Random): Promise<Stage> => {
  const ledger = Ledger.create();
  const platform = await SoakPlatform.create((run) => ledger.runs.push(run), random);
  platform.configure(1, keys);
  const workerProxies: LoopbackProxy[] = [];
  for (const { standin } of platform.workers) {
    const proxy = await LoopbackProxy.create(standin.address);
    workerProxies.push(proxy);
    platform.register(standin.id, proxy.address, 'ready');
  }
  const host = hostOf(options.seed);
  const gateways: GatewayProcess[] = [];
  const storeProxies: LoopbackProxy[] = [];
  for (let index = 0; index < gatewayCount; index += 1) {
    const node = `gateway-${String(index)}`;
    const proxy = await LoopbackProxy.create(platform.store.address);
    storeProxies.push(proxy);
    const addresses = {
      caller: await freeAddress(host),
      ready: await freeAddress(host),
      directory: await freeAddress(host),
      nodes: await freeAddress(host),
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
  return { platform, gateways, storeProxies, workerProxies, ledger, revocations: 0, version: 1 };
};

const at = <Value>(values: readonly Value[], index: number): Value => {
  const value = values[index];
  if (value === undefined) {
    throw new Error(`nothing at ${String(index)}`);
  }
  return value;
};

/** Notes that a gateway, or all of them, isn't held to bounds on time until the fault is over. */
const disturb = (stage: Stage, forMs: number, gateway?: string): void => {
  const fromMs = performance.now();
  stage.ledger.disturbances.push({
    ...(gateway === undefined ? {} : { gateway }),
    fromMs,
    toMs: fromMs + forMs,
  });
};

const restart = async (gateway: GatewayProcess, signal: NodeJS.Signals): Promise<void> => {
  gateway.signal(signal);
  const tooLong = setTimeout(() => {
    gateway.signal('SIGKILL');
  }, graceMs);
  await gateway.ended();
  clearTimeout(tooLong);
  await sleep(restartMs);
  gateway.start();
};

const leave = async (stage: Stage, fault: Fault & { readonly worker: number }): Promise<void> => {
  const { standin } = at(stage.platform.workers, fault.worker);
  const { address } = at(stage.workerProxies, fault.worker);
  const withdrawal = { worker: standin.id, fromMs: performance.now(), toMs: Infinity };
  if (
    stage.ledger.withdrawals.some(({ worker, toMs }) => worker === standin.id && toMs === Infinity)
  ) {
    return;
  }
  stage.ledger.withdrawals.push(withdrawal);
  stage.platform.register(standin.id, address, 'draining');
  await sleep(soakBounds.drainMs + fault.forMs);
  withdrawal.toMs = performance.now();
  stage.platform.register(standin.id, address, 'ready');
};

/** One key stays valid, so that there are always requests to serve. */
const revoke = (stage: Stage): void => {
  if (stage.revocations >= allKeys - 1) {
    return;
  }
  stage.revocations += 1;
  stage.version += 1;
  stage.ledger.revokedAtMs.set(at(keys, stage.revocations), performance.now());
  stage.platform.configure(
    stage.version,
    keys.filter((key) => !stage.ledger.revokedAtMs.has(key)),
  );
};

const strikeGateway = async (
  stage: Stage,
  fault: Extract<Fault, { readonly gateway: number }>,
): Promise<void> => {
  const gateway = at(stage.gateways, fault.gateway);
  disturb(stage, fault.forMs + graceMs, gateway.node);
  switch (fault.kind) {
    case 'kill':
      await restart(gateway, 'SIGKILL');
      return;
    case 'terminate':
      await restart(gateway, 'SIGTERM');
      return;
    case 'pause':
      gateway.signal('SIGSTOP');
      await sleep(fault.forMs);
      gateway.signal('SIGCONT');
      return;
    case 'store-link': {
      const proxy = at(stage.storeProxies, fault.gateway);
      proxy.fault(fault.link);
      await sleep(fault.forMs);
      proxy.fault('none');
    }
  }
};

const strikeWorker = async (
  stage: Stage,
  fault: Extract<Fault, { readonly worker: number }>,
): Promise<void> => {
  const { faults } = at(stage.platform.workers, fault.worker);
  switch (fault.kind) {
    case 'worker-link': {
      const proxy = at(stage.workerProxies, fault.worker);
      // Bytes that are held up arrive later without being sent later.
      disturb(stage, fault.forMs);
      proxy.fault(fault.link);
      await sleep(fault.forMs);
      proxy.fault('none');
      return;
    }
    case 'worker-leaves':
      await leave(stage, fault);
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

const strike = async (stage: Stage, fault: Fault): Promise<void> => {
  if ('gateway' in fault) {
    await strikeGateway(stage, fault);
    return;
  }
  if ('worker' in fault) {
    await strikeWorker(stage, fault);
    return;
  }
  const { faults } = stage.platform.store;
  switch (fault.kind) {
    case 'store-away':
      disturb(stage, fault.forMs);
      faults.unavailable = true;
      await sleep(fault.forMs);
      faults.unavailable = false;
      return;
    case 'store-loses-replies':
      disturb(stage, fault.forMs);
      faults.dropsReplies = true;
      await sleep(fault.forMs);
      faults.dropsReplies = false;
      return;
    case 'store-forgets':
      stage.platform.store.compactHistory();
      return;
    case 'revoke':
      revoke(stage);
  }
};

/** Runs gateways, callers and faults for one seed and checks what came of it. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  mkdirSync(options.folder, { recursive: true });
  const spreadSeed = Math.imul(options.seed, seedSpread);
  const random = Random.create(spreadSeed);
  const stage = await createStage(options, Random.create(spreadSeed + seedSpread));
  const { ledger, gateways, platform } = stage;
  const faults = planFaults(random, {
    gateways: gatewayCount,
    workers: platform.workers.length,
    lengthMs: options.faultMs,
  });
  try {
    for (const gateway of gateways) {
      gateway.start();
    }
    disturb(stage, startMs);
    await sleep(startMs);
    const traffic = Traffic.create({ gateways, keys, ledger, random });
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(fault.atMs);
        await strike(stage, fault);
      }),
    );
    ledger.quietFromMs = performance.now();
    await sleep(quietMs);
    await traffic.stop();
    for (const gateway of gateways) {
      for (let end = 0; end < gateway.ownEnds(); end += 1) {
        ledger.ownEnds.push(gateway.node);
      }
    }
  } finally {
    for (const gateway of gateways) {
      gateway.signal('SIGKILL');
      await gateway.ended();
    }
    for (const proxy of [...stage.storeProxies, ...stage.workerProxies]) {
      proxy.close();
    }
    await platform.close();
  }
  return {
    seed: options.seed,
    requests: ledger.requests.length,
    served: ledger.requests.filter(({ answer }) => answer.status === 200 && answer.complete).length,
    faults,
    violations: findViolations(ledger),
  };
};
