import { expect } from 'chai';
import { Fleet } from './fleet.js';
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
