import { expect } from 'chai';
import { Random, VirtualClock } from '@zinniagrade/clock';
import type { NodeView, Service } from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';
import { createVersionDraw } from './version-draw.js';

const service: Service = {
  id: 's',
  kind: 'plain',
  class: 'call',
  version: 'v1',
  operations: [],
  firstAnswerDeadlineMs: 1_000,
};

const createFixture = (share: number) => {
  const clock = VirtualClock.create();
  const move = {
    id: 'mv',
    service: 's',
    fromVersion: 'v1',
    toVersion: 'v2',
    startAt: clock.wallMs(),
    deadlineAt: clock.wallMs() + 60_000,
    state: 'planned' as const,
  };
  const view: NodeView = {
    configuration: { ...emptyConfiguration, services: { s: service }, moves: { mv: move } },
    members: [],
    withdrawnDataCentres: new Set(),
    leavingUpstreams: new Set(),
    limits: new Map(),
    loadReports: new Map(),
    moveShares: new Map([['mv', { share, lapsesAt: 1_000 }]]),
  };
  const draw = createVersionDraw(() => view, clock, Random.create(3));
  return {
    clock,
    count: (n: number) => Array.from({ length: n }, () => draw(service)).filter(Boolean).length,
  };
};

describe('version draw', () => {
  it('never sends more of the requests so far to the new version than its share', () => {
    const { count } = createFixture(0.05);
    let drawn = 0;
    for (let requests = 10; requests <= 1_000; requests += 10) {
      drawn += count(10);
      expect(drawn).to.be.at.most(requests * 0.05);
    }
    expect(drawn).to.be.at.least(45);
  });

  it('sends none to the new version once the share has expired', () => {
    const { clock, count } = createFixture(0.5);
    clock.advance(1_000);
    expect(count(100)).to.equal(0);
  });
});
