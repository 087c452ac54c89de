import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { watchSilence } from './silence-watch.js';

interface Watched {
  readonly clock: VirtualClock;
  readonly silentAtMs: readonly number[];
  readonly cancel: () => void;
}

/** Watches progress and a limit, which are given as functions of the time in milliseconds. */
const watch = (
  lastProgressAtMs: (nowMs: number) => number,
  maxSilenceMs: (nowMs: number) => number,
): Watched => {
  const clock = VirtualClock.create();
  const silentAtMs: number[] = [];
  const cancel = watchSilence(clock, {
    lastProgressAtMs: () => lastProgressAtMs(clock.monotonicMs()),
    maxSilenceMs: () => maxSilenceMs(clock.monotonicMs()),
    onSilent: () => {
      silentAtMs.push(clock.monotonicMs());
    },
  });
  return { clock, silentAtMs, cancel };
};

describe('watch for silence', () => {
  it('calls when the allowed time has passed, and again while the silence lasts', () => {
    // Guards against a check that comes up to 250 ms after the time, which the caller has to wait.
    const { clock, silentAtMs } = watch(
      () => 0,
      () => 1400,
    );
    clock.advance(2000);
    expect(silentAtMs).to.deep.equal([1400, 1650, 1900]);
  });

  it('counts from the latest progress', () => {
    // Guards against a timer that was set for the progress before the latest one.
    const { clock, silentAtMs } = watch(
      (nowMs) => Math.min(1333, nowMs - (nowMs % 40)),
      () => 700,
    );
    clock.advance(2100);
    expect(silentAtMs).to.deep.equal([2033]);
  });

  it('follows a limit that grows or shrinks while it waits', () => {
    // Guards against a stream that waits for the limit which it had when the timer was set.
    const longer = watch(
      () => 0,
      (nowMs) => (nowMs < 900 ? 1000 : 1400),
    );
    longer.clock.advance(1500);
    expect(longer.silentAtMs).to.deep.equal([1400]);
    const shorter = watch(
      () => 0,
      (nowMs) => (nowMs < 900 ? Infinity : 1000),
    );
    shorter.clock.advance(1100);
    expect(shorter.silentAtMs).to.deep.equal([1000]);
  });

  it('keeps a time that is shorter than the interval of the checks', () => {
    // Guards against short limits that are looked at only with the first check of all.
    const { clock, silentAtMs } = watch(
      () => 0,
      () => 120,
    );
    clock.advance(200);
    expect(silentAtMs).to.deep.equal([120]);
  });

  it('ends when it is cancelled, also by the call', () => {
    // Guards against timers that stay after their stream has ended.
    const before = watch(
      () => 0,
      () => 400,
    );
    before.clock.advance(300);
    before.cancel();
    expect(before.clock.pendingTimers()).to.equal(0);
    const clock = VirtualClock.create();
    let calls = 0;
    const cancel = watchSilence(clock, {
      lastProgressAtMs: () => 0,
      maxSilenceMs: () => 400,
      onSilent: () => {
        calls += 1;
        cancel();
      },
    });
    clock.advance(2000);
    expect(calls).to.equal(1);
    expect(clock.pendingTimers()).to.equal(0);
  });
});
