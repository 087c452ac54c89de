import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { RouteDurations } from './route-durations.js';

const serve = (clock: VirtualClock, durations: RouteDurations, durationMs: number): void => {
  const end = durations.start('r');
  clock.advance(durationMs);
  end(true);
};

describe('durations of a route', () => {
  it('are unknown until enough requests were served', () => {
    // Guards against refusals, which end at once, that make a slow route look fast.
    const clock = VirtualClock.create();
    const durations = RouteDurations.create(clock);
    for (let count = 0; count < 9; count += 1) {
      durations.start('r')(false);
    }
    expect(durations.longestMs('r')).to.equal(undefined);
    for (const durationMs of [10, 30, 20, 10, 10]) {
      serve(clock, durations, durationMs);
    }
    expect(durations.longestMs('r')).to.equal(30);
    expect(durations.longestMs('other')).to.equal(undefined);
  });

  it('count requests that are still open, so that a slowdown shows before any of them ends', () => {
    const clock = VirtualClock.create();
    const durations = RouteDurations.create(clock);
    for (let count = 0; count < 5; count += 1) {
      serve(clock, durations, 10);
    }
    durations.start('r');
    clock.advance(700);
    expect(durations.longestMs('r')).to.equal(700);
  });

  it('are forgotten after two windows', () => {
    const clock = VirtualClock.create();
    const durations = RouteDurations.create(clock);
    for (let count = 0; count < 5; count += 1) {
      serve(clock, durations, 100);
    }
    clock.advance(15_000);
    expect(durations.longestMs('r')).to.equal(100);
    clock.advance(30_000);
    expect(durations.longestMs('r')).to.equal(undefined);
  });
});
