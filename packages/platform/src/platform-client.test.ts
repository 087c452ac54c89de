import { Clock } from '@zinniagrade/clock';
import { PlatformStandIn, platformStandInSettingsSchema } from '@zinniagrade/platform-standin';
import { expect } from 'chai';
import { Platform } from './platform-client.js';

const host = '127.0.0.1';

const start = async (settings: object = {}) => {
  const clock = Clock.create();
  const standIn = await PlatformStandIn.create(
    platformStandInSettingsSchema.parse({ port: 0, vmListLagMs: 0, ...settings }),
    clock,
  );
  const platform = Platform.create({ host, port: standIn.port, timeoutMs: 300 }, clock);
  const setFaults = (faults: object) =>
    fetch(`http://${host}:${standIn.port}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
  const close = async () => {
    await platform.close();
    await standIn.close();
  };
  return { ...platform, clock, standIn, setFaults, close };
};

describe('platform client', () => {
  it('reads back what it wrote, and reports the current revision to the loser of a race', async () => {
    const { store, close } = await start();
    const key = 'configuration/head';
    const first = await store.put(key, { a: 1 }, 0);
    const revision = first.outcome === 'done' ? first.revision : -1;
    expect(await store.put(key, { a: 2 }, 0)).to.deep.equal({ outcome: 'lost-race', revision });
    expect((await store.get(key)).extract()).to.deep.equal({ key, value: { a: 1 }, revision });
    expect((await store.list('configuration/')).extract()).to.have.length(1);
    expect((await store.get('none')).isRight()).to.equal(true);
    expect(await store.delete(key, revision)).to.include({ outcome: 'done' });
    await close();
  });

  it('reports a write whose reply was lost as unknown, and the write has taken effect', async () => {
    const { store, setFaults, close } = await start();
    await setFaults({ loseReplies: 1 });
    expect(await store.put('k', 1, 0)).to.include({ outcome: 'unknown' });
    expect((await store.get('k')).extract()).to.include({ value: 1 });
    await close();
  });

  it('reports a write as not sent only if no connection was made or the rate was exceeded', async () => {
    const { store, setFaults, standIn, clock, close } = await start({ writesPerSecond: 1 });
    await setFaults({ outage: 'hang' });
    expect(await store.put('k', 1, 0)).to.include({ outcome: 'unknown' });
    await setFaults({ outage: 'none' });
    const outcomes = [
      await store.put('a', 1, 0),
      await store.put('b', 1, 0),
      await store.put('c', 1, 0),
    ];
    expect(outcomes.map(({ outcome }) => outcome)).to.include('not-sent');
    await close();
    const clientAfterStop = Platform.create({ host, port: standIn.port }, clock);
    expect(await clientAfterStop.store.put('k', 1, 0)).to.include({ outcome: 'not-sent' });
    await clientAfterStop.close();
  });

  it('ends a watch at a change, or without one after its waiting time', async () => {
    const { store, close } = await start();
    expect((await store.watch('k', 0, 50)).extract()).to.equal(undefined);
    const watch = store.watch('k', 0, 2000);
    await store.put('k', 'v', 0);
    expect((await watch).extract()).to.include({ value: 'v' });
    await close();
  });

  it('deletes a key when its lease is revoked', async () => {
    const { store, close } = await start();
    const leaseId = (await store.grantLease(5000)).unsafeCoerce();
    await store.put('k', 'v', 0, leaseId);
    expect((await store.renewLease(leaseId)).extract()).to.equal(true);
    await store.revokeLease(leaseId);
    expect((await store.get('k')).extract()).to.equal(undefined);
    expect((await store.renewLease(leaseId)).extract()).to.equal(false);
    expect(await store.put('l', 'v', 0, leaseId)).to.include({ outcome: 'not-sent' });
    await close();
  });

  it('reads the VM list and reserves a transfer of weights', async () => {
    const vm = { id: 'vm1', host: '10.0.0.1', dataCentre: 'a', state: 'leaving' };
    const { vms, weights, close } = await start({ vms: [vm] });
    expect((await vms.list()).extract()).to.deep.equal([vm]);
    expect((await weights.reserve('m', 'v1')).extract()).to.have.property('durationMs');
    await close();
  });

  it('makes no call beyond its rate budget', async () => {
    const { standIn, clock, close } = await start();
    const platform = Platform.create({ host, port: standIn.port, readsPerSecond: 2 }, clock);
    const results = [];
    for (let index = 0; index < 3; index += 1) {
      results.push((await platform.store.get('k')).isRight());
    }
    expect(results).to.deep.equal([true, true, false]);
    await platform.close();
    await close();
  });
});
