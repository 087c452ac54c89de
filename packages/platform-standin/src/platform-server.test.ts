import { expect } from 'chai';
import { VirtualClock } from '@zinniagrade/clock';
import { PlatformStandIn } from './platform-server.js';
import { settingsSchema } from './settings.js';

interface Body {
  readonly revision?: number;
  readonly value?: unknown;
  readonly leaseId?: string;
  readonly vms?: readonly { readonly state: string }[];
  readonly startInMs?: number;
}

const start = async (settings: object = {}) => {
  const clock = VirtualClock.create();
  const server = await PlatformStandIn.create(
    settingsSchema.parse({ port: 0, ...settings }),
    clock,
  );
  const send = async (method: string, path: string, body?: unknown) => {
    const init = body === undefined ? { method } : { method, body: JSON.stringify(body) };
    const response = await fetch(`http://127.0.0.1:${server.port}${path}`, init);
    const text = await response.text();
    return { status: response.status, body: (text === '' ? {} : JSON.parse(text)) as Body };
  };
  return { clock, server, send };
};

describe('platform stand-in', () => {
  it('applies only one of two writes with the same expected revision', async () => {
    const { server, send } = await start();
    const first = await send('PUT', '/kv/a/b', { value: 1, ifRevision: 0 });
    const second = await send('PUT', '/kv/a/b', { value: 2, ifRevision: 0 });
    expect([first.status, second.status]).to.deep.equal([200, 409]);
    expect(second.body.revision).to.equal(first.body.revision);
    await server.close();
  });

  it('removes the keys of an expired lease', async () => {
    const { clock, server, send } = await start();
    const { leaseId } = (await send('POST', '/leases', { ttlMs: 1000 })).body;
    await send('PUT', '/kv/a', { value: 1, leaseId });
    clock.advance(900);
    expect((await send('POST', `/leases/${leaseId ?? ''}/renew`)).status).to.equal(200);
    clock.advance(900);
    expect((await send('GET', '/kv/a')).status).to.equal(200);
    clock.advance(200);
    expect((await send('GET', '/kv/a')).status).to.equal(404);
    await server.close();
  });

  it('answers a watch when the key has changed since the given revision', async () => {
    const { server, send } = await start();
    const { revision } = (await send('PUT', '/kv/a', { value: 1 })).body;
    const watch = send('GET', `/watch/a?after=${revision ?? 0}&waitMs=60000`);
    await send('PUT', '/kv/a', { value: 2 });
    expect((await watch).body.value).to.equal(2);
    await server.close();
  });

  it('applies a write whose reply is lost', async () => {
    const { server, send } = await start();
    await send('POST', '/faults', { loseReplies: 1 });
    expect(await send('PUT', '/kv/a', { value: 1 }).catch(() => 'cut')).to.equal('cut');
    expect((await send('GET', '/kv/a')).body.value).to.equal(1);
    await server.close();
  });

  it('refuses writes above the rate limit with 429 until the next second', async () => {
    const { clock, server, send } = await start({ writesPerSecond: 1 });
    const put = async () => (await send('PUT', '/kv/a', { value: 1 })).status;
    expect([await put(), await put()]).to.deep.equal([200, 429]);
    clock.advance(1000);
    expect(await put()).to.equal(200);
    await server.close();
  });

  it('shows a change of the VM list after the configured lag', async () => {
    const vm = { id: 'vm-1', host: '127.0.0.1', dataCentre: 'a', state: 'live' };
    const { clock, server, send } = await start({ vms: [vm], vmListLagMs: 3000 });
    const state = async () => (await send('GET', '/vms')).body.vms?.[0]?.state;
    await send('POST', '/vms', { vms: [{ ...vm, state: 'leaving' }] });
    expect(await state()).to.equal('live');
    clock.advance(3000);
    expect(await state()).to.equal('leaving');
    await server.close();
  });

  it('delays weight transfers above the concurrency limit', async () => {
    const { server, send } = await start({ weightTransfersAtOnce: 1, weightTransferMs: 500 });
    await send('POST', '/weights/m/v1');
    expect((await send('POST', '/weights/m/v1')).body.startInMs).to.equal(500);
    await server.close();
  });
});
