import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { findFreePort } from '@zinniagrade/free-ports';
import { GatewayRun, type GatewayRunOptions } from './gateway-run.js';
import { sleep } from './sleep.js';

const startScript = async (
  script: (port: number) => string,
  part: Partial<GatewayRunOptions> = {},
): Promise<GatewayRun> => {
  const port = await findFreePort('127.0.0.1');
  return GatewayRun.create({
    node: 'g1',
    args: ['--eval', script(port)],
    env: { PATH: process.env.PATH },
    readyAddress: `127.0.0.1:${String(port)}`,
    memoryLimitBytes: 1,
    bootMs: 0,
    log: new PassThrough().resume(),
    isStartHeldUp: () => false,
    ...part,
  });
};

const serveScript = (port: number): string =>
  `require('http').createServer((_, r) => r.end()).listen(${String(port)}, '127.0.0.1')`;

describe('run of a gateway process', () => {
  it('records how a process ended and what it wrote last', async () => {
    // Guards against a report of issue 38 without exit code and lines.
    const run = await startScript(() => "console.error('no room'); process.exit(3)");
    await run.exited;
    expect(run.record.exit).to.include({ code: 3, signal: null, lastLines: 'no room\n' });
    expect(run.isStopping()).to.equal(false);
  });

  it('records when a process became ready, and its memory', async () => {
    // Guards against checks of starts and memory that read nothing.
    const run = await startScript(serveScript);
    while (run.record.readyAtMs === undefined) {
      await sleep(20);
    }
    run.signal('SIGTERM');
    await run.exited;
    expect(run.record.wasReadyBeforeStop).to.equal(true);
    expect(run.record.exit?.signal).to.equal('SIGTERM');
    expect(run.record.peakMemoryBytes).to.be.greaterThan(10_000_000);
    expect(run.record.aboveMemoryLimitAtMs).to.be.greaterThan(run.record.startedAtMs);
  }).timeout(20_000);

  it('counts the time without readiness, but not while a fault holds the start up', async () => {
    // Guards against a bound on starts that a fault of the soak's own breaks, or that never counts.
    const idleScript = (): string => 'setInterval(() => {}, 1000)';
    const counted = await startScript(idleScript);
    const heldUp = await startScript(idleScript, { isStartHeldUp: () => true });
    await sleep(600);
    for (const run of [counted, heldUp]) {
      run.signal('SIGKILL');
      await run.exited;
    }
    expect(counted.record.unreadyMs).to.be.greaterThan(200);
    expect(heldUp.record.unreadyMs).to.equal(0);
    expect(heldUp.record.readyAtMs).to.equal(undefined);
  }).timeout(20_000);
});
