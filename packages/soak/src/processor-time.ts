import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

/** Processor time of the main thread of a process. */
export interface ProcessorTime {
  readonly usedMs: number;
  /** Time for which it was ready to run and got no processor. */
  readonly waitedMs: number;
}

const nanosecondsPerMs = 1e6;
const bootRuns = 3;
/** A program's first module is read a little later than the one that is given on the command line. */
const bootMargin = 1.2;

const parseSchedstat = (text: string): ProcessorTime => {
  const [used, waited] = text.split(' ').map((field) => Number(field) / nanosecondsPerMs);
  return { usedMs: used ?? 0, waitedMs: waited ?? 0 };
};

/** Undefined if the process has ended, or if the kernel doesn't tell. */
export const readProcessorTime = (pid: number): ProcessorTime | undefined => {
  try {
    return parseSchedstat(readFileSync(`/proc/${String(pid)}/schedstat`, 'utf8'));
  } catch {
    return undefined;
  }
};

const bootScript =
  "import { readFileSync } from 'node:fs'; process.stdout.write(readFileSync('/proc/self/schedstat', 'utf8'));";

let bootMs: number | undefined;

/**
 * Processor time that Node.js uses before it runs the first line of a program. A signal in this
 * time ends any program, as none can have registered a handler.
 */
export const measureBootMs = (): number => {
  bootMs ??= Math.max(
    ...Array.from({ length: bootRuns }, () => {
      const args = ['--input-type=module', '--eval', bootScript];
      const { stdout } = spawnSync(process.execPath, args, { encoding: 'utf8' });
      return parseSchedstat(stdout).usedMs * bootMargin;
    }),
  );
  return bootMs;
};
