import { createWriteStream, writeFileSync } from 'node:fs';
import { settingsFileEnvVar, type GatewayAddresses } from '@zinniagrade/platform-adapter/standins';
import { readDeployedCommand } from './deployed-command.js';
import { GatewayRun, type ProcessRecord } from './gateway-run.js';
import { measureBootMs } from './processor-time.js';
import { sleep } from './sleep.js';

/** A gateway whose process can be stopped and started again with the same settings. */
export interface GatewayProcess {
  readonly node: string;
  readonly callerAddress: string;
  readonly addresses: GatewayAddresses;
  readonly settings: string;
  /** Valid settings that differ from `settings`. */
  readonly changedSettings: string;
  /** Starts a process, unless one is alive. */
  readonly start: () => void;
  /** Starts a process, unless one is alive that was not told to stop. */
  readonly startBesideStopping: () => void;
  /** The process that was started last. */
  readonly latestRun: () => GatewayRun;
  /** Signals the process that was started last. */
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly writeSettings: (text: string) => void;
  /** Excludes the time from now until the returned function is called from the bound on starts. */
  readonly holdUpStart: () => () => void;
  /** What was observed of each process. */
  readonly records: () => readonly ProcessRecord[];
  /** Kills all processes; resolves when they have exited. */
  readonly close: () => Promise<void>;
}

export interface GatewayProcessOptions {
  readonly node: string;
  readonly addresses: GatewayAddresses;
  readonly memoryLimitBytes: number;
  /** Path of the compiled gateway. */
  readonly program: string;
  readonly settingsFile: string;
  readonly settings: string;
  readonly changedSettings: string;
  /** Receives stdout and stderr of every start. */
  readonly logFile: string;
}

/** A process that ended by itself is started again, as on the platform. */
const restartDelayMs = 300;

export const GatewayProcess = {
  create: (options: GatewayProcessOptions): GatewayProcess => {
    const { nodeOptions } = readDeployedCommand();
    const metricsPort = options.addresses.metrics.split(':')[1] ?? '';
    const bootMs = measureBootMs();
    const log = createWriteStream(options.logFile);
    const runs: GatewayRun[] = [];
    let heldUp = 0;
    let closed = false;

    const writeSettings = (text: string): void => {
      writeFileSync(options.settingsFile, text);
    };

    const startUnless = (isInTheWay: (run: GatewayRun) => boolean): void => {
      if (closed || runs.some(isInTheWay)) {
        return;
      }
      const run = GatewayRun.create({
        node: options.node,
        args: [...nodeOptions, options.program, metricsPort],
        env: { PATH: process.env.PATH, [settingsFileEnvVar]: options.settingsFile },
        readyAddress: options.addresses.ready,
        memoryLimitBytes: options.memoryLimitBytes,
        bootMs,
        log,
        isStartHeldUp: () => heldUp > 0 || runs.some((other) => other !== run && other.isAlive()),
      });
      runs.push(run);
      void run.exited.then(async () => {
        if (!run.isStopping()) {
          await sleep(restartDelayMs);
          start();
        }
      });
    };

    const start = (): void => {
      startUnless((run) => run.isAlive());
    };

    const latestRun = (): GatewayRun => {
      const run = runs.at(-1);
      if (run === undefined) {
        throw new Error(`${options.node} was not started`);
      }
      return run;
    };

    writeSettings(options.settings);
    return {
      node: options.node,
      callerAddress: options.addresses.caller,
      addresses: options.addresses,
      settings: options.settings,
      changedSettings: options.changedSettings,
      start,
      startBesideStopping: () => {
        startUnless((run) => run.isAlive() && !run.isStopping());
      },
      latestRun,
      signal: (signal) => {
        latestRun().signal(signal);
      },
      writeSettings,
      holdUpStart: () => {
        heldUp += 1;
        return () => {
          heldUp -= 1;
        };
      },
      records: () => runs.map(({ record }) => record),
      close: async () => {
        closed = true;
        for (const run of runs) {
          run.signal('SIGKILL');
          await run.exited;
        }
      },
    };
  },
};
