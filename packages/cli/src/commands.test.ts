import { execFile } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Clock, Random } from '@zinniagrade/clock';
import { Logger } from '@zinniagrade/logger';
import { OperatorServer } from '@zinniagrade/operator';
import { FakeStore } from '@zinniagrade/platform';
import { expect } from 'chai';

const program = fileURLToPath(new URL('../bin/run.js', import.meta.url));
const host = '127.0.0.1';

interface Run {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

const runProgram = (args: readonly string[], env: Readonly<Record<string, string>>): Promise<Run> =>
  new Promise((resolve) => {
    const options = { env: { ...process.env, ...env } };
    execFile(process.execPath, [program, ...args], options, (error, output, errors) => {
      resolve({ code: error === null ? 0 : Number(error.code), output, errors });
    });
  });

const start = async () => {
  const clock = Clock.create();
  const server = await OperatorServer.create({
    settings: {
      name: 'operator',
      listen: { host, port: 0 },
      credentials: [
        { name: 'anna', tokenHash: createHash('sha256').update('token').digest('hex') },
      ],
      platform: { host, port: 1 },
      nodeLinks: [],
      secret: 's',
    },
    platform: { store: FakeStore.create(clock, Random.create(1)).client() },
    clock,
    logger: Logger.createSilent(),
  });
  const env = { ZINNIAGRADE_ADDRESS: `${host}:${server.port}`, ZINNIAGRADE_TOKEN: 'token' };
  return { run: (...args: readonly string[]) => runProgram(args, env), stop: server.close };
};

const writeTemporaryFile = (document: unknown): string => {
  const file = join(mkdtempSync(join(tmpdir(), 'zinniagrade-')), 'document.json');
  writeFileSync(file, JSON.stringify(document));
  return file;
};

const dataCentre = (id: string) => ({
  kind: 'put-data-centre',
  dataCentre: { id, region: 'r', state: 'in-service' },
});

describe('command line', () => {
  it('applies a file, withdraws a data centre, and reports a lost race by its exit code', async () => {
    const { run, stop } = await start();
    const file = writeTemporaryFile({ changes: [dataCentre('dc-1'), dataCentre('dc-2')] });
    expect((await run('apply', file)).code).to.equal(0);
    const withdrawn = await run('data-centre', 'withdraw', 'dc-1', '--json');
    expect(JSON.parse(withdrawn.output)).to.include({ revision: 2, provisional: false });
    const lost = await run('data-centre', 'return', 'dc-1', '--revision', '1', '--json');
    expect(lost.code).to.equal(4);
    expect(lost.output).to.match(/revision 2/);
    const last = await run('data-centre', 'withdraw', 'dc-2');
    expect(last.code).to.equal(1);
    expect(last.errors).to.match(/last data/);
    await stop();
  });

  it('exits with 2 for wrong usage and with 3 if no operator process is reached', async () => {
    const [usage, unreachable] = await Promise.all([
      runProgram(['list', 'nothing'], {}),
      runProgram(['status', '--address', `${host}:1`, '--token', 't'], {}),
    ]);
    expect(usage.code).to.equal(2);
    expect(unreachable.code).to.equal(3);
  });

  it('names the unknown field of a settings file', async () => {
    const file = writeTemporaryFile({ listen: { host, port: 1 }, secret: 's', keep: 5 });
    const checked = await runProgram(['settings', 'check', 'timeline', file], {});
    expect(checked.code).to.equal(1);
    expect(checked.errors).to.match(/keep/);
  });
});
