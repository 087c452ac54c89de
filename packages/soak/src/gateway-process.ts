import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { settingsFileEnvVar } from '@zinniagrade/platform-adapter/standins';

/** A gateway whose process can be stopped and started again with the same settings. */
export interface GatewayProcess {
  readonly node: string;
  readonly callerAddress: string;
  readonly start: () => void;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Number of times that the process exited without SIGKILL or SIGTERM from `signal`. */
  readonly unexpectedExitCount: () => number;
  /** Resolves when the process has exited. */
  readonly exited: () => Promise<void>;
}

export interface GatewayProcessOptions {
  readonly node: string;
  readonly callerAddress: string;
  /** Path of the compiled gateway. */
  readonly program: string;
  readonly settingsFile: string;
  readonly settings: string;
  /** Receives stdout and stderr of every start. */
  readonly logFile: string;
}

export const GatewayProcess = {
  create: (options: GatewayProcessOptions): GatewayProcess => {
    writeFileSync(options.settingsFile, options.settings);
    const log: WriteStream = createWriteStream(options.logFile);
    let child: ChildProcess | undefined;
    let isExitExpected = false;
    let unexpectedExits = 0;
    return {
      node: options.node,
      callerAddress: options.callerAddress,
      start: () => {
        // Two overlapping faults can both restart the same gateway.
        if (child?.exitCode === null && child.signalCode === null) {
          return;
        }
        child = spawn(process.execPath, [options.program], {
          env: { PATH: process.env.PATH, [settingsFileEnvVar]: options.settingsFile },
          stdio: ['ignore', 'pipe', 'pipe'],
        });
        isExitExpected = false;
        child.once('exit', () => {
          unexpectedExits += isExitExpected ? 0 : 1;
        });
        child.stdout?.pipe(log, { end: false });
        child.stderr?.pipe(log, { end: false });
      },
      signal: (signal) => {
        isExitExpected ||= signal === 'SIGKILL' || signal === 'SIGTERM';
        child?.kill(signal);
      },
      unexpectedExitCount: () => unexpectedExits,
      exited: () =>
        new Promise((resolve) => {
          if (child?.exitCode !== null || child.signalCode !== null) {
            resolve();
            return;
          }
          child.once('exit', () => {
            resolve();
          });
        }),
    };
  },
};
