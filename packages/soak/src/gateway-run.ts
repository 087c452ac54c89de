import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import type { Writable } from 'node:stream';
import { readProcessorTime, type ProcessorTime } from './processor-time.js';
import { sleep } from './sleep.js';

/** How a process ended. */
export interface ProcessExit {
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: string | null;
  /** Last output of the process. */
  readonly lastLines: string;
}

/** What was observed of one process of a gateway, from its start to its exit. */
export interface ProcessRecord {
  readonly node: string;
  /** Times are milliseconds of `performance.now()` in the soak process. */
  readonly startedAtMs: number;
  /** Signals that the soak sent, in order. */
  readonly signals: NodeJS.Signals[];
  readyAtMs?: number;
  /** Whether it was ready before the first signal that stops it. */
  wasReadyBeforeStop?: boolean;
  /** Whether SIGHUP came before the program could register a handler. */
  wasReloadedInBoot?: boolean;
  /**
   * Time without readiness, except while a fault held up the start or the process waited for a
   * processor of a busy machine.
   */
  unreadyMs: number;
  /** Highest resident memory. */
  peakMemoryBytes: number;
  /** When it was first above the limit. */
  aboveMemoryLimitAtMs?: number;
  readonly memoryLimitBytes: number;
  exit?: ProcessExit;
}

/** One process of a gateway. */
export interface GatewayRun {
  readonly record: ProcessRecord;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly isAlive: () => boolean;
  /** Whether the soak has told it to stop, or has killed it. */
  readonly isStopping: () => boolean;
  /** Resolves when the process has exited. */
  readonly exited: Promise<void>;
}

export interface GatewayRunOptions {
  readonly node: string;
  /** Command line after the path of Node.js. */
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Answers 200 once the process is ready. */
  readonly readyAddress: string;
  readonly memoryLimitBytes: number;
  /** Processor time before the first line of the program. */
  readonly bootMs: number;
  readonly log: Writable;
  /** Whether a fault now keeps the process from becoming ready. */
  readonly isStartHeldUp: () => boolean;
}

const memoryIntervalMs = 500;
const readyIntervalMs = 100;
const readyTimeoutMs = 1000;
const maxLastLinesLength = 1500;
const bytesPerKilobyte = 1024;

/** Highest resident memory of a process so far; undefined if it has ended. */
export const readPeakMemoryBytes = (pid: number): number | undefined => {
  try {
    const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
    const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
    return kilobytes === undefined ? undefined : Number(kilobytes) * bytesPerKilobyte;
  } catch {
    return undefined;
  }
};

const isReady = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const options = { host, port, agent: false, timeout: readyTimeoutMs };
    const request = httpRequest(options, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', () => {
      resolve(false);
    });
    request.end();
  });

const isStopSignal = (signal: NodeJS.Signals): boolean =>
  signal === 'SIGKILL' || signal === 'SIGTERM';

export const GatewayRun = {
  /** Starts the process. */
  create: (options: GatewayRunOptions): GatewayRun => {
    const record: ProcessRecord = {
      node: options.node,
      startedAtMs: performance.now(),
      signals: [],
      unreadyMs: 0,
      peakMemoryBytes: 0,
      memoryLimitBytes: options.memoryLimitBytes,
    };
    const child = spawn(process.execPath, options.args, {
      env: options.env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let alive = true;
    let lastLines = '';
    for (const stream of [child.stdout, child.stderr]) {
      stream.pipe(options.log, { end: false });
      stream.on('data', (chunk: Buffer) => {
        lastLines = (lastLines + chunk.toString()).slice(-maxLastLinesLength);
      });
    }
    const isStopping = (): boolean => record.signals.some(isStopSignal);

    const readTime = (): ProcessorTime | undefined =>
      child.pid === undefined ? undefined : readProcessorTime(child.pid);

    const readMemory = (): void => {
      const bytes = child.pid === undefined ? undefined : readPeakMemoryBytes(child.pid);
      if (bytes === undefined) {
        return;
      }
      record.peakMemoryBytes = bytes;
      if (bytes > options.memoryLimitBytes) {
        record.aboveMemoryLimitAtMs ??= performance.now();
      }
    };

    const watchReadiness = async (): Promise<void> => {
      let countedUntilMs = performance.now();
      let waitedMs = 0;
      while (alive && !isStopping()) {
        await sleep(readyIntervalMs);
        const ready = await isReady(options.readyAddress);
        const nowMs = performance.now();
        // A process before this one may still answer on the address while the start is held up.
        if (ready && !options.isStartHeldUp()) {
          record.readyAtMs = nowMs;
          return;
        }
        const totalWaitMs = readTime()?.waitedMs ?? waitedMs;
        const countedMs = nowMs - countedUntilMs - Math.max(0, totalWaitMs - waitedMs);
        record.unreadyMs += options.isStartHeldUp() ? 0 : Math.max(0, countedMs);
        countedUntilMs = nowMs;
        waitedMs = totalWaitMs;
      }
    };

    const memoryTimer = setInterval(readMemory, memoryIntervalMs);
    void watchReadiness();
    const exited = new Promise<void>((resolve) => {
      child.once('exit', () => {
        alive = false;
        clearInterval(memoryTimer);
      });
      child.once('close', (code, signal) => {
        record.exit = { atMs: performance.now(), code, signal, lastLines };
        resolve();
      });
    });
    return {
      record,
      signal: (signal) => {
        if (!alive) {
          return;
        }
        readMemory();
        if (isStopSignal(signal)) {
          record.wasReadyBeforeStop ??= record.readyAtMs !== undefined;
        }
        if (signal === 'SIGHUP' && (readTime()?.usedMs ?? Infinity) < options.bootMs) {
          record.wasReloadedInBoot = true;
        }
        record.signals.push(signal);
        child.kill(signal);
      },
      isAlive: () => alive,
      isStopping,
      exited,
    };
  },
};
