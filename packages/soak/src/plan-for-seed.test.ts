import { expect } from 'chai';
import { groupsOfSeed, planForSeed } from './plan-for-seed.js';

const options = { gatewayCount: 4, workerCount: 6, faultPeriodMs: 15_000, graceMs: 3000 };

describe('plan for a seed', () => {
  it('draws the same faults of a group whichever other groups there are', () => {
    // Guards against a new group that changes what the seeds of old violations draw.
    const mixed = planForSeed(129, ['mixed'], options);
    const all = planForSeed(129, ['mixed', 'starts', 'callers', 'workers'], options);
    expect(all.slice(0, mixed.length)).to.deep.equal(mixed);
    expect(all.length).to.be.greaterThan(mixed.length);
  });

  it('covers every group by adjacent seeds', () => {
    // Guards against faults that a run over many seeds never injects.
    const groups = new Set([0, 1, 2, 3].flatMap(groupsOfSeed));
    expect([...groups].sort()).to.deep.equal(['callers', 'mixed', 'starts', 'workers']);
  });
});
