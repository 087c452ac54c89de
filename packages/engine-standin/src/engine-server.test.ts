import { expect } from 'chai';
import { Clock } from '@zinniagrade/clock';
import { EngineStandIn } from './engine-server.js';
import { tokenText } from './generation-store.js';
import { engineStandInSettingsSchema } from './settings.js';

interface Line {
  readonly generation: string;
  readonly index?: number;
  readonly text?: string;
  readonly end?: boolean;
  readonly tokens?: number;
}

const start = async (settings: object = {}) => {
  const model = { stepBaseMs: 1, stepPerStreamMs: 0 };
  const parsed = engineStandInSettingsSchema.parse({ port: 0, model, ...settings });
  const server = await EngineStandIn.create(parsed, Clock.create());
  const url = `http://127.0.0.1:${server.port}`;
  const post = (path: string, body: unknown) =>
    fetch(`${url}${path}`, { method: 'POST', body: JSON.stringify(body) });
  const generate = (generation: string, prompt = 'tokens=5') =>
    post('/generations', {
      ...{ generation, service: 's', model: 'm', version: 'v1', prompt },
      ...{ maxTokens: 100, priority: 0, attempt: 0 },
    });
  return { server, url, post, generate };
};

const linesOf = async (response: Response): Promise<readonly Line[]> =>
  (await response.text())
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as Line);

const indexesOf = (lines: readonly Line[]) => lines.map(({ index }) => index);

describe('engine stand-in', () => {
  it('streams every token and an end line', async () => {
    const { server, generate } = await start();
    const lines = await linesOf(await generate('g'));
    expect(indexesOf(lines)).to.deep.equal([0, 1, 2, 3, 4, undefined]);
    expect(lines[4]?.text).to.equal(tokenText('g', 4));
    expect(lines[5]).to.deep.equal({ generation: 'g', end: true, tokens: 5 });
    await server.close();
  });

  it('resumes a generation from the requested index after its connection was cut', async () => {
    const { server, url, post, generate } = await start();
    await post('/faults', { kind: 'cut', at: 2 });
    expect(await (await generate('g')).text().catch(() => 'cut')).to.equal('cut');
    const lines = await linesOf(await fetch(`${url}/generations/g?from=2`));
    expect(indexesOf(lines)).to.deep.equal([2, 3, 4, undefined]);
    await server.close();
  });

  it('repeats and drops lines as injected faults', async () => {
    const { server, post, generate } = await start();
    await post('/faults', { kind: 'repeat-line', at: 1 });
    expect(indexesOf(await linesOf(await generate('a')))).to.deep.equal([
      0,
      1,
      1,
      2,
      3,
      4,
      undefined,
    ]);
    await post('/faults', { kind: 'drop-line', at: 1 });
    expect(indexesOf(await linesOf(await generate('b')))).to.deep.equal([0, 2, 3, 4, undefined]);
    await server.close();
  });

  it('does not resume a cancelled generation', async () => {
    const { server, url, generate } = await start();
    await generate('g', 'tokens=100');
    expect((await fetch(`${url}/generations/g`, { method: 'DELETE' })).status).to.equal(200);
    expect((await fetch(`${url}/generations/g?from=0`)).status).to.equal(404);
    await server.close();
  });

  it('refuses an order with an old fencing token only if configured to', async () => {
    for (const refusesOldFencingTokens of [true, false]) {
      const { server, post } = await start({ refusesOldFencingTokens });
      const order = (fencingToken: number) =>
        post('/orders', { order: 'role', model: 'm', role: 'decode', fencingToken });
      await order(2);
      expect((await order(1)).status).to.equal(refusesOldFencingTokens ? 409 : 200);
      await server.close();
    }
  });

  it('refuses new generations before any work once it is leaving', async () => {
    const { server, url, post, generate } = await start();
    await post('/faults', { kind: 'leave' });
    expect((await generate('g')).status).to.equal(503);
    const { runs, refusals } = (await (await fetch(`${url}/runs`)).json()) as {
      readonly runs: readonly unknown[];
      readonly refusals: readonly unknown[];
    };
    expect([runs.length, refusals.length]).to.deep.equal([0, 1]);
    await server.close();
  });
});
