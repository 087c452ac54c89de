import { expect } from 'chai';
import type { Service } from './configuration.js';
import { Fleet, type FleetMember } from './fleet.js';
import { demandOf } from './service-demand.js';

const app: Service = { name: 'text', healthPath: '/', maxConnections: 9, coldPerSecond: 0 };
const engine: Service = {
  ...app,
  engine: {
    ...{ slots: 10, memoryTokens: 1000, tokenBytes: 1, linkMbps: 1, tokensPerEvent: 1 },
    ...{ movable: true, supportsBackups: true, copyLifeMs: 1 },
  },
};

const register = (fleet: Fleet, id: string, dataCentre: string): FleetMember =>
  fleet.register(
    {
      ...{ id, dataCentre, service: 'text', address: '127.0.0.1:1', version: 'v1', slots: 10 },
      ...{ state: 'ready', coldLeftMs: 0 },
    },
    0,
  );

const usesOf =
  (requests: number, memoryTokens: number, copyTokens: number) => (upstream: string) => ({
    ...{ upstream, requests, promptTokens: 0, memoryTokens, copyTokens },
  });

describe('demand of a service', () => {
  it('counts requests of all nodes by slots, or by memory where that is less', () => {
    // Guards against engines that are full of long generations and count as nearly idle.
    const fleet = Fleet.create();
    const member = register(fleet, 'a', 'x');
    const run = { sentAtMs: 0, promptTokens: 0, hasBegun: true };
    member.ownRuns.set('1', { ...run, requestId: '1', expectedTokens: 300, isBackup: false });
    member.ownRuns.set('2', { ...run, requestId: '2', expectedTokens: 100, isBackup: true });
    const members = fleet.ofService('text');
    const none = new Set<string>();
    expect(demandOf(members, app, usesOf(4, 0, 0), none).load).to.equal(0.5);
    expect(demandOf(members, engine, usesOf(4, 700, 200), none).load).to.equal(0.8);
    expect(demandOf(members, engine, usesOf(8, 100, 0), none).load).to.equal(0.9);
  });

  it('takes what leaving and withdrawn upstreams carry for load of the others', () => {
    // Guards against streams that find no upstream when theirs ends.
    const fleet = Fleet.create();
    register(fleet, 'a', 'x');
    fleet.markLeaving(register(fleet, 'b', 'x'));
    register(fleet, 'c', 'y');
    const demand = demandOf(fleet.ofService('text'), app, usesOf(5, 0, 0), new Set(['y']));
    expect(demand).to.deep.equal({ load: 1.5, serving: 1 });
  });
});
