import { expect } from 'chai';
import { PlacementRate } from './placement-rate.js';

describe('placement rate', () => {
  it('expects the other nodes to place as much as this one', () => {
    const rate = PlacementRate.create();
    for (let nowMs = 0; nowMs < 10_000; nowMs += 2000) {
      rate.record(nowMs);
    }
    expect(rate.unknownPlacements(10_000, 77, 85)).to.be.closeTo((5 / 10_000) * 76 * 85, 0.001);
    expect(rate.unknownPlacements(10_000, 1, 85)).to.equal(0);
  });

  it('forgets placements that are long ago', () => {
    const rate = PlacementRate.create();
    rate.record(0);
    expect(rate.unknownPlacements(10_001, 77, 85)).to.equal(0);
  });
});
