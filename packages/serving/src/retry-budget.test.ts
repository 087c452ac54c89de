import { expect } from 'chai';
import { RetryBudget } from './retry-budget.js';

const bounds = { ratio: 0.2, extra: 54, windowMs: 10_000 };

const takeAll = (budget: RetryBudget, nowMs: number, nodes: number): number => {
  let count = 0;
  while (budget.take(nowMs, nodes)) {
    count += 1;
  }
  return count;
};

describe('retry budget', () => {
  it('keeps all nodes together within the bound when none can reach another', () => {
    // Load pattern: every node repeats as much as it may, at once, and no node hears of the others.
    for (const nodes of [1, 7, 8, 87]) {
      let repeats = 0;
      let firsts = 0;
      for (let node = 0; node < nodes; node += 1) {
        const budget = RetryBudget.create(bounds);
        for (let request = 0; request < 10; request += 1) {
          budget.countFirst(request);
          firsts += 1;
        }
        repeats += takeAll(budget, 100, nodes);
      }
      expect(repeats).to.be.at.most(bounds.ratio * firsts + bounds.extra);
    }
  });

  it('gives repeats back once the window has passed', () => {
    const budget = RetryBudget.create(bounds);
    const first = takeAll(budget, 0, 1);
    expect(first).to.be.greaterThan(0);
    expect(budget.take(bounds.windowMs - 1, 1)).to.equal(false);
    expect(takeAll(budget, bounds.windowMs + 1, 1)).to.equal(first);
  });
});
