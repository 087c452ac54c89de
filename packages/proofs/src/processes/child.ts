import type { ChildProcess, ChildProcessByStdio } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

const packagesFolder = new URL('../../../', import.meta.url).pathname;
const readyTimeoutMs = 10_000;

/** The line that a process prints on standard output once it is listening. */
export interface ReadyLine {
  readonly ready: true;
  /** Set by stand-ins, the operator and the timeline. */
  readonly port?: number;
  /** This field and those below are set by an entry node. */
  readonly nodeId?: string;
  readonly callerPort?: number;
  readonly linkPort?: number;
}

/** A running process of the system or a stand-in. */
export interface Child {
  readonly name: string;
  readonly ready: ReadyLine;
  readonly pid: number;
  /** Resolves with the exit code, or with null after a signal. */
  readonly exited: Promise<number | null>;
  readonly isRunning: () => boolean;
  /** Sends SIGKILL and waits for the exit. */
  readonly kill: () => Promise<void>;
  /** Sends SIGTERM, which requests a graceful shutdown. */
  readonly terminate: () => void;
  /** Sends SIGSTOP; `wake` sends SIGCONT. */
  readonly freeze: () => void;
  readonly wake: () => void;
  /** The end of what the process wrote to standard error, for error messages. */
  readonly stderr: () => string;
}

const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) {
    child.kill('SIGKILL');
  }
});

/** Parses a ready line, or the `listening` log line of a process that reports its port there. */
const parseReadyLine = (line: string): ReadyLine | undefined => {
  if (line.startsWith('{"ready":true')) {
    return JSON.parse(line) as ReadyLine;
  }
  if (line.startsWith('{') && line.includes('"message":"listening"')) {
    return { ready: true, port: (JSON.parse(line) as { readonly port: number }).port };
  }
  return undefined;
};

const waitForReady = (
  child: ChildProcessByStdio<null, Readable, Readable>,
  name: string,
  errors: () => string,
): Promise<ReadyLine> =>
  new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      child.kill('SIGKILL');
      reject(new Error(`${name} ${reason}: ${errors()}`));
    };
    const timer = setTimeout(() => {
      fail(`was not ready within ${readyTimeoutMs} ms`);
    }, readyTimeoutMs);
    child.once('exit', (code) => {
      clearTimeout(timer);
      fail(`exited with ${code ?? 'a signal'} before it was ready`);
    });
    for (const input of [child.stdout, child.stderr]) {
      createInterface({ input }).on('line', (line) => {
        const ready = parseReadyLine(line);
        if (ready !== undefined) {
          clearTimeout(timer);
          child.removeAllListeners('exit');
          resolve(ready);
        }
      });
    }
  });

export const Child = {
  /**
   * Starts a program with a temporary settings file and waits for its ready line. The program is the
   * name of a package of this repository, such as `entry`, or the path of a script relative to the
   * package `proofs`.
   */
  create: async (program: string, name: string, settings: object): Promise<Child> => {
    const folder = mkdtempSync(join(tmpdir(), 'zinniagrade-'));
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const binary = program.endsWith('.js')
      ? join(packagesFolder, 'proofs', program)
      : join(packagesFolder, program, 'bin', `zinniagrade-${program}.js`);
    const child = spawn(process.execPath, [binary, file], { stdio: ['ignore', 'pipe', 'pipe'] });
    running.add(child);
    let isRunning = true;
    let errors = '';
    child.stderr.on('data', (chunk: Buffer) => {
      errors = (errors + chunk.toString('utf8')).slice(-20_000);
    });
    const ready = await waitForReady(child, name, () => errors);
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        isRunning = false;
        running.delete(child);
        resolve(code);
      });
    });
    rmSync(folder, { recursive: true, force: true });
    return {
      name,
      ready,
      pid: child.pid ?? 0,
      exited,
      isRunning: () => isRunning,
      kill: async () => {
        child.kill('SIGKILL');
        await exited;
      },
      terminate: () => {
        child.kill('SIGTERM');
      },
      freeze: () => {
        child.kill('SIGSTOP');
      },
      wake: () => {
        child.kill('SIGCONT');
      },
      stderr: () => errors,
    };
  },
};
