import { join } from 'node:path';
import type { Random } from '@zinniagrade/clock';
import { findFreePort } from '@zinniagrade/free-ports';
import {
  changeSettings,
  soakMemoryBytes,
  SoakPlatform,
  writeSettingsFile,
} from '@zinniagrade/platform-adapter/standins';
import { GatewayProcess } from './gateway-process.js';
import { LoopbackProxy } from './loopback-proxy.js';
import { Observations } from './observations.js';

export interface EnvironmentOptions {
  readonly seed: number;
  /** Path of the compiled gateway. */
  readonly program: string;
  /** Folder for the settings files and logs of the gateways. */
  readonly folder: string;
}

/**
 * The gateways of one seed, the stand-ins for their store and workers, the proxies between them, and
 * the state of the run.
 */
export interface Environment {
  readonly platform: SoakPlatform;
  readonly gateways: readonly GatewayProcess[];
  /** Proxies to the store, one for each gateway. */
  readonly storeProxies: readonly LoopbackProxy[];
  /** Proxies to the workers, one for each worker. */
  readonly workerProxies: readonly LoopbackProxy[];
  readonly observations: Observations;
  revokedKeyCount: number;
  configurationVersion: number;
  /** Kills the gateways and closes everything else. */
  readonly close: () => Promise<void>;
}

const gatewaysPerRun = 4;
/** API keys that are valid at the start. */
export const apiKeys = ['key-1', 'key-2', 'key-3'] as const;

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

export const Environment = {
  /** Sets up everything; the gateways are not started yet. */
  create: async (options: EnvironmentOptions, random: Random): Promise<Environment> => {
    const observations = Observations.create();
    const platform = await SoakPlatform.create(
      {
        onRun: (run) => observations.workerRuns.push(run),
        onStatement: (statement) => observations.statements.push(statement),
      },
      random,
    );
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
        metrics: await reserveAddress(host),
      };
      const settings = writeSettingsFile(node, index, addresses, proxy.address);
      gateways.push(
        GatewayProcess.create({
          node,
          addresses,
          memoryLimitBytes: soakMemoryBytes,
          program: options.program,
          settingsFile: join(options.folder, `${node}.json`),
          settings,
          changedSettings: changeSettings(settings),
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
      close: async () => {
        for (const gateway of gateways) {
          await gateway.close();
        }
        for (const proxy of [...storeProxies, ...workerProxies]) {
          proxy.close();
        }
        await platform.close();
      },
    };
  },
};

/** Exempts one gateway, or all without `gateway`, from timing bounds for `forMs` from now. */
export const exemptFromTiming = (
  environment: Environment,
  forMs: number,
  gateway?: string,
): void => {
  const fromMs = performance.now();
  environment.observations.timingExemptions.push({
    ...(gateway === undefined ? {} : { gateway }),
    fromMs,
    toMs: fromMs + forMs,
  });
};
