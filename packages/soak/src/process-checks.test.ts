import { expect } from 'chai';
import type { ProcessExit, ProcessRecord } from './gateway-run.js';
import { Observations } from './observations.js';
import { checkProcesses } from './process-checks.js';
import type { Violation } from './violation.js';

const megabyte = 1024 * 1024;

const processRecord = (part: Partial<ProcessRecord>): ProcessRecord => ({
  node: 'g1',
  startedAtMs: 1000,
  signals: [],
  unreadyMs: 400,
  peakMemoryBytes: 150 * megabyte,
  memoryLimitBytes: 200 * megabyte,
  ...part,
});

const violationsOf = (part: Partial<ProcessRecord>): readonly Violation[] => {
  const observations = Observations.create();
  observations.processes.push(processRecord(part));
  return checkProcesses(observations);
};

const exitWith = (code: number | null, signal: string | null): ProcessExit => ({
  atMs: 3000,
  code,
  signal,
  lastLines: 'first\nsecond\n',
});

describe('checks of processes', () => {
  it('report an end that no signal explains, with its code and the last lines', () => {
    // Guards against a process that ends by itself and leaves no trace, as in issue 38.
    const [violation] = violationsOf({ exit: exitWith(1, null), signals: ['SIGHUP'] });
    expect(violation?.promise).to.equal('stays-up');
    expect(violation?.detail).to.equal(
      'g1 ended with code 1 2000 ms after its start after SIGHUP; last output: first | second',
    );
    expect(violationsOf({ exit: exitWith(0, null) })).to.have.length(1);
    expect(violationsOf({})).to.deep.equal([]);
  });

  it('quote the error that ended a process, though its stack follows', () => {
    // Guards against a report that shows the version of Node.js instead of the taken address.
    const lastLines = 'Error: listen EADDRINUSE\n  at listen\n  at main {\n}\n\nNode.js v20';
    const [violation] = violationsOf({ exit: { atMs: 0, code: 1, signal: null, lastLines } });
    expect(violation?.detail).to.include('Error: listen EADDRINUSE');
  });

  it('accept the ends that SIGKILL and SIGTERM explain', () => {
    // Guards against violations that the soak causes itself.
    const killed = { exit: exitWith(null, 'SIGKILL'), signals: ['SIGKILL' as const] };
    const stopped = { exit: exitWith(0, null), signals: ['SIGTERM' as const] };
    const stoppedInStart = { exit: exitWith(null, 'SIGTERM'), signals: ['SIGTERM' as const] };
    const endedInBoot = { exit: exitWith(null, 'SIGHUP'), wasReloadedInBoot: true };
    for (const record of [killed, stopped, stoppedInStart, endedInBoot]) {
      expect(violationsOf(record)).to.deep.equal([]);
    }
  });

  it('report SIGTERM that ends a ready process at once, and an error at the end', () => {
    // Guards against a second SIGTERM that cuts the requests of a grace period.
    const signals: NodeJS.Signals[] = ['SIGTERM', 'SIGTERM'];
    const wasReady = { signals, wasReadyBeforeStop: true };
    expect(violationsOf({ ...wasReady, exit: exitWith(null, 'SIGTERM') })).to.have.length(1);
    expect(violationsOf({ signals, exit: exitWith(1, null) })).to.have.length(1);
  });

  it('report a start that takes longer than 5 s', () => {
    // Guards against a process that stays up but never serves.
    expect(violationsOf({ unreadyMs: 4900 })).to.deep.equal([]);
    expect(violationsOf({ unreadyMs: 5100 }).map(({ promise }) => promise)).to.deep.equal([
      'starts',
    ]);
  });

  it('report memory above the limit of the settings, with node, value and time', () => {
    // Guards against a process that the platform would have killed.
    expect(violationsOf({ peakMemoryBytes: 200 * megabyte })).to.deep.equal([]);
    const [violation] = violationsOf({
      peakMemoryBytes: 226 * megabyte,
      aboveMemoryLimitAtMs: 4000,
    });
    expect(violation).to.deep.equal({
      promise: 'memory-limit',
      detail: 'g1 used 226.0 MB of 200 MB, above it 3000 ms after its start',
    });
  });
});
