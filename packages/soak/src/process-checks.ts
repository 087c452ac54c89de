import type { ProcessRecord } from './gateway-run.js';
import type { Observations } from './observations.js';
import type { Violation } from './violation.js';

/** A start that nothing holds up takes about half a second; the machine may be busy. */
const maxStartMs = 5000;
const maxLines = 3;
const maxLineLength = 200;
const bytesPerMegabyte = 1024 * 1024;

const formatTime = ({ startedAtMs }: ProcessRecord, atMs: number): string =>
  `${String(Math.round(atMs - startedAtMs))} ms after its start`;

/**
 * SIGKILL explains any end. SIGTERM explains an end without error; the signal itself may end only a
 * process that was not ready yet, as others have requests to finish. SIGHUP may end a process only
 * before its program runs.
 */
const isExplained = (record: ProcessRecord): boolean => {
  const { signals, exit, wasReadyBeforeStop } = record;
  if (exit === undefined || signals.includes('SIGKILL')) {
    return true;
  }
  if (exit.signal === 'SIGHUP' && record.wasReloadedInBoot === true) {
    return true;
  }
  const endedBySigterm = exit.signal === 'SIGTERM' && wasReadyBeforeStop !== true;
  return signals.includes('SIGTERM') && (exit.code === 0 || endedBySigterm);
};

/** The last error and the last lines, cut to a length that can be read in a list of violations. */
const formatLastLines = (text: string): string => {
  const lines = text.trim().split('\n');
  const lastError = lines.filter((line) => /^\w*Error: /.test(line)).slice(-1);
  return [...new Set([...lastError, ...lines.slice(-maxLines)])]
    .map((line) => line.slice(0, maxLineLength))
    .join(' | ');
};

const checkExits = (records: readonly ProcessRecord[]): readonly Violation[] => {
  const violations: Violation[] = [];
  for (const record of records) {
    const { exit, node, signals } = record;
    if (exit === undefined || isExplained(record)) {
      continue;
    }
    const end = exit.signal ?? `code ${String(exit.code)}`;
    const sent = signals.length === 0 ? 'no signal' : signals.join(', ');
    const detail = `${node} ended with ${end} ${formatTime(record, exit.atMs)} after ${sent}; last output: ${formatLastLines(exit.lastLines)}`;
    violations.push({ promise: 'stays-up', detail });
  }
  return violations;
};

const checkStarts = (records: readonly ProcessRecord[]): readonly Violation[] =>
  records
    .filter(({ unreadyMs }) => unreadyMs > maxStartMs)
    .map(({ node, unreadyMs, startedAtMs }) => ({
      promise: 'starts',
      detail: `${node}, started at ${String(Math.round(startedAtMs))} ms, was not ready for ${String(Math.round(unreadyMs))} ms`,
    }));

const checkMemory = (records: readonly ProcessRecord[]): readonly Violation[] =>
  records
    .filter(({ aboveMemoryLimitAtMs }) => aboveMemoryLimitAtMs !== undefined)
    .map((record) => {
      const atMs = record.aboveMemoryLimitAtMs ?? 0;
      const megabytes = (record.peakMemoryBytes / bytesPerMegabyte).toFixed(1);
      const limit = (record.memoryLimitBytes / bytesPerMegabyte).toFixed(0);
      const detail = `${record.node} used ${megabytes} MB of ${limit} MB, above it ${formatTime(record, atMs)}`;
      return { promise: 'memory-limit', detail };
    });

/** Broken promises that concern the processes themselves: their starts, ends and memory. */
export const checkProcesses = ({ processes }: Observations): readonly Violation[] => [
  ...checkExits(processes),
  ...checkStarts(processes),
  ...checkMemory(processes),
];
