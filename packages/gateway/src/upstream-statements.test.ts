import { VirtualClock } from '@zinniagrade/clock';
import { Fleet, type Upstream } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Log } from './log.js';
import { StatedLimits } from './stated-limits.js';
import type { ResponseHead } from './upstream-client.js';
import { UpstreamStatements } from './upstream-statements.js';

const upstream: Upstream = {
  id: 'app-1',
  bornAtMs: 1,
  service: 'app',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  coldLeftMs: 0,
};

const head: ResponseHead = {
  status: 200,
  headers: [],
  notExecuted: false,
  matchesRequest: true,
  sealed: true,
  endsWithConnection: false,
  closesConnection: false,
  leaving: false,
};

describe('statements of an upstream that is cold', () => {
  const create = () => {
    const clock = VirtualClock.create();
    const log = Log.createSilent();
    const fleet = Fleet.create();
    const limits = StatedLimits.create(clock, log, fleet, {
      node: 'node-0',
      nodeCount: () => 1,
      aliveNodes: () => new Set(),
      share: () => undefined,
    });
    const statements = UpstreamStatements.create(clock, log, fleet, limits);
    return { clock, fleet, statements, member: fleet.register(upstream, clock.monotonicMs()) };
  };

  it('apply until the time is over, whatever a registration says that came before', () => {
    // Guards against full load on a warm upstream that turned cold without notice.
    const { clock, fleet, statements, member } = create();
    statements.onResponse(member, { ...head, coldMs: 3000 }, 0);
    const coldUntilMs = clock.monotonicMs() + 3000;
    expect(member.coldUntilMs).to.equal(coldUntilMs);
    fleet.register(upstream, clock.monotonicMs());
    expect(member.coldUntilMs).to.equal(coldUntilMs);
    fleet.register({ ...upstream, bornAtMs: 2 }, clock.monotonicMs());
    expect(member.coldUntilMs).to.be.at.most(clock.monotonicMs());
  });

  it('end at once when the upstream itself states that it is warm', () => {
    // Guards against a warm upstream that stays idle, and against the word of another program.
    const { clock, statements, member } = create();
    statements.onResponse(member, { ...head, coldMs: 3000 }, 0);
    statements.onResponse(member, { ...head, sealed: false, coldMs: 0 }, 0);
    expect(member.coldUntilMs).to.be.greaterThan(clock.monotonicMs());
    statements.onResponse(member, { ...head, coldMs: 0 }, 0);
    expect(member.coldUntilMs).to.equal(clock.monotonicMs());
  });
});
