import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { RequestDeadline } from './request-deadline.js';

/** A request that arrived at 0 ms and whose caller waits for 1000 ms, with a time-out of 400 ms. */
const createDeadline = (clock: VirtualClock): { deadline: RequestDeadline; reached: number[] } => {
  const reached: number[] = [];
  const deadline = RequestDeadline.create(clock, {
    arrivedAtMs: clock.monotonicMs(),
    callerDeadlineAtMs: clock.monotonicMs() + 1000,
    timeoutMs: 400,
  });
  const beganAtMs = clock.monotonicMs();
  deadline.onReached(() => reached.push(clock.monotonicMs() - beganAtMs));
  return { deadline, reached };
};

describe('deadline of a request', () => {
  it('is the time-out of its route', () => {
    const clock = VirtualClock.create();
    const { reached } = createDeadline(clock);
    clock.advance(2000);
    expect(reached).to.deep.equal([400]);
  });

  it('moves with a raised time-out, but not past the time that the caller waits', () => {
    // Guards against work in progress that is cut although the version in force allows it more time.
    const clock = VirtualClock.create();
    const { deadline, reached } = createDeadline(clock);
    clock.advance(300);
    deadline.allow(700);
    clock.advance(300);
    expect(reached).to.deep.equal([]);
    deadline.allow(5000);
    clock.advance(2000);
    expect(reached).to.deep.equal([1000]);
  });

  it('stays when the time-out is lowered, also after it was raised', () => {
    const clock = VirtualClock.create();
    const { deadline, reached } = createDeadline(clock);
    deadline.allow(700);
    deadline.allow(200);
    clock.advance(2000);
    expect(reached).to.deep.equal([700]);
  });

  it('is not reached by a request that has ended', () => {
    const clock = VirtualClock.create();
    const { deadline, reached } = createDeadline(clock);
    deadline.stop();
    clock.advance(2000);
    expect(reached).to.deep.equal([]);
  });
});
