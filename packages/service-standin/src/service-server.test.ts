import { expect } from 'chai';
import { Clock } from '@zinniagrade/clock';
import { ServiceStandIn, serviceStandInSettingsSchema } from './service-server.js';

const start = async () => {
  const settings = serviceStandInSettingsSchema.parse({ port: 0 });
  const server = await ServiceStandIn.create(settings, Clock.create(), () => undefined);
  const url = `http://127.0.0.1:${server.port}`;
  const post = (path: string, body: unknown) =>
    fetch(`${url}${path}`, { method: 'POST', body: JSON.stringify(body) });
  const call = (requestId: string) =>
    post('/calls', { requestId, operation: 'issue', arguments: { requestId } });
  const runCount = async () => {
    const { runs } = (await (await fetch(`${url}/runs`)).json()) as { runs: unknown[] };
    return runs.length;
  };
  return { server, post, call, runCount };
};

const idOf = async (response: Response) =>
  ((await response.json()) as { requestId: string }).requestId;

describe('service stand-in', () => {
  it('echoes the request id and records the run', async () => {
    const { server, call, runCount } = await start();
    expect(await idOf(await call('a'))).to.equal('a');
    expect(await runCount()).to.equal(1);
    await server.close();
  });

  it('does not run a call that it refuses', async () => {
    const { server, post, call, runCount } = await start();
    await post('/faults', [{ kind: 'refuse', count: 1 }]);
    expect((await call('a')).status).to.equal(503);
    expect(await runCount()).to.equal(0);
    await server.close();
  });

  it('swaps the answers of two callers as an injected fault', async () => {
    const { server, post, call } = await start();
    await post('/faults', [{ kind: 'crossed', count: 2 }]);
    const [a, b] = await Promise.all([call('a'), call('b')]);
    expect([await idOf(a), await idOf(b)]).to.deep.equal(['b', 'a']);
    await server.close();
  });

  it('runs a call and closes the connection before the answer', async () => {
    const { server, post, call, runCount } = await start();
    await post('/faults', [{ kind: 'reset-after', count: 1 }]);
    const outcome = await call('a').catch(() => 'cut');
    expect([outcome, await runCount()]).to.deep.equal(['cut', 1]);
    await server.close();
  });
});
