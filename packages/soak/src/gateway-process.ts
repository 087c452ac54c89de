import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { settingsFileEnvVar } from '@zinniagrade/platform-adapter/standins';

/** One gateway, which may be stopped and started again under the same settings. */
export interface GatewayProcess {
  readonly node: string;
  readonly callerAddress: string;
  readonly start: () => void;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** How often a process ended that wasn't told to. */
  readonly ownEnds: () => number;
  /** Resolves when the process has ended. */
  readonly ended: () => Promise<void>;
}

export interface GatewayProcessOptions {
  readonly node: string;
  readonly callerAddress: string;
  /** Path of the compiled program. */
  readonly program: string;
  readonly settingsFile: string;
  readonly settings: string;
  /** Receives all output of its processes. */
  readonly logFile: string;
}

export const GatewayProcess = {
  create: (options: GatewayProcessOptions): GatewayProcess => {
    writeFileSync(options.settingsFile, options.settings);
    const output: WriteStream = createWriteStream(options.logFile);
    let child: ChildProcess | undefined;
    let wasTold = false;
    let ownEnds = 0;
    return {
      node: options.node,
      callerAddress: options.callerAddress,
      start: () => {
        // Faults overlap, so that two of them may start the same gateway again.
        if (child?.exitCode === null && child.signalCode === null) {
          return;
        }
        child = spawn(process.execPath, [options.program], {
          env: { PATH: process.env.PATH, [settingsFileEnvVar]: options.settingsFile },
          stdio: ['ignore', 'pipe', 'pipe'],
        });
        wasTold = false;
        child.once('exit', () => {
          ownEnds += wasTold ? 0 : 1;
        });
        child.stdout?.pipe(output, { end: false });
        child.stderr?.pipe(output, { end: false });
      },
      signal: (signal) => {
        wasTold ||= signal === 'SIGKILL' || signal === 'SIGTERM';
        child?.kill(signal);
      },
      ownEnds: () => ownEnds,
      ended: () =>
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
