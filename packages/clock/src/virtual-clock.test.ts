import { expect } from 'chai';
import { HybridClock, compareHybridTimes } from './hybrid-clock.js';
import { Random } from './random.js';
import { VirtualClock } from './virtual-clock.js';

describe('virtual clock', () => {
  it('runs timers in the order of due time, then of creation', () => {
    const clock = VirtualClock.create();
    const ran: string[] = [];
    clock.after(20, () => ran.push('late'));
    clock.after(10, () => ran.push('first'));
    clock.after(10, () => ran.push('second'));
    clock.advance(15);
    expect(ran).to.deep.equal(['first', 'second']);
    clock.advance(5);
    expect(ran).to.deep.equal(['first', 'second', 'late']);
  });

  it('does not run a repeating timer after it was cancelled', () => {
    const clock = VirtualClock.create();
    let runs = 0;
    const cancel = clock.every(10, () => (runs += 1));
    clock.advance(35);
    cancel();
    clock.advance(100);
    expect(runs).to.equal(3);
  });
});

describe('hybrid clock', () => {
  it('orders an event after an observed one even if the local wall clock is behind', () => {
    const ahead = HybridClock.create(() => 1000).now();
    const behind = HybridClock.create(() => 10);
    behind.observe(ahead);
    expect(compareHybridTimes(ahead, behind.now())).to.be.below(0);
  });
});

describe('random source', () => {
  it('gives the same sequence for the same seed, within [0, 1)', () => {
    const [a, b] = [Random.create(7), Random.create(7)];
    for (let i = 0; i < 100; i += 1) {
      const value = a();
      expect(value).to.equal(b());
      expect(value).to.be.within(0, 0.999_999_999_9);
    }
  });
});
