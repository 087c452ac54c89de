import { expect } from 'chai';
import { RetryBudget } from './retry-budget.js';

const bounds = { ratio: 0.2, extra: 54, windowMs: 10_000 };

const takeAll = (budget: RetryBudget, nowMs: number, nodes: number): number => {
  let count = 0;
  while (budget.tryTakeRetry(nowMs, nodes)) {
    count += 1;
  }
  return count;
};

describe('retry budget', () => {
  it('keeps the total of all nodes within the allowance when no node can reach another', () => {
    // Every node sends all its retries at once, and no node knows about the others'.
    for (const nodes of [1, 7, 8, 87]) {
      let retries = 0;
      let firstSends = 0;
      for (let node = 0; node < nodes; node += 1) {
        const budget = RetryBudget.create(bounds);
        for (let request = 0; request < 10; request += 1) {
          budget.recordFirstSend(request);
          firstSends += 1;
        }
        retries += takeAll(budget, 100, nodes);
      }
      expect(retries).to.be.at.most(bounds.ratio * firstSends + bounds.extra);
    }
  });

  it('allows retries again once the window has passed', () => {
    const budget = RetryBudget.create(bounds);
    const firstCount = takeAll(budget, 0, 1);
    expect(firstCount).to.be.greaterThan(0);
    expect(budget.tryTakeRetry(bounds.windowMs - 1, 1)).to.equal(false);
    expect(takeAll(budget, bounds.windowMs + 1, 1)).to.equal(firstCount);
  });
});
