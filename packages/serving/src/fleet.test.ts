import { expect } from 'chai';
import { areAllUnreached, Fleet } from './fleet.js';
import type { Upstream } from './upstream.js';

const upstream: Upstream = {
  id: 'u',
  bornAtMs: 1000,
  service: 'app',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldLeftMs: 0,
};

describe('fleet', () => {
  it('is unreached while connections to all upstreams that serve have failed lately', () => {
    // Guards against one crashed upstream that makes a service look unreached.
    const fleet = Fleet.create();
    const members = ['u', 'v', 'w'].map((id) => fleet.register({ ...upstream, id }, 0));
    const [first, second, third] = members;
    expect(areAllUnreached(members, 100)).to.equal(false);
    for (const member of [first, second]) {
      Object.assign(member ?? {}, { unreachedAtMs: 100 });
    }
    expect(areAllUnreached(members, 100)).to.equal(false);
    Object.assign(third ?? {}, { leaving: true });
    expect(areAllUnreached(members, 100)).to.equal(true);
    expect(areAllUnreached(members, 1000)).to.equal(false);
    expect(areAllUnreached([], 100)).to.equal(false);
  });

  it('keeps what an upstream has stated while its registration lapses and comes back', () => {
    // Guards against new work at an upstream that leaves, after an outage of the store.
    const fleet = Fleet.create();
    const member = fleet.register(upstream, 0);
    member.statesLeaving = true;
    member.waitUntilMs = 5000;
    fleet.remove('u', 1);
    const returned = fleet.register(upstream, 2);
    expect([returned.leaving, returned.waitUntilMs]).to.deep.equal([true, 5000]);
    fleet.remove('u', 3);
    const restarted = fleet.register({ ...upstream, bornAtMs: 2000 }, 4);
    expect([restarted.leaving, restarted.waitUntilMs]).to.deep.equal([false, 0]);
  });
});
