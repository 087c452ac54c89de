import { expect } from 'chai';
import { TokenTimes } from './token-times.js';

describe('time per token of a stream', () => {
  it('is the mean of some seconds, with the batch in which it was seen', () => {
    // Guards against a figure that counts the wait for the first event, or events for tokens.
    const recorded: (readonly number[])[] = [];
    let batch = 4;
    const times = TokenTimes.create({
      tokensPerEvent: 4,
      batch: () => batch,
      record: (...observed) => {
        recorded.push(observed);
      },
    });
    for (let atMs = 5000; atMs <= 9200; atMs += 200) {
      batch = atMs >= 6900 ? 8 : 4;
      times.onEvent(atMs);
    }
    expect(recorded).to.deep.equal([
      [50, 6, 7000],
      [50, 8, 9000],
    ]);
  });

  it('needs some events, as a few may come together', () => {
    // Guards against a stream that was preempted, whose pause counts as the speed of its engine.
    let count = 0;
    const times = TokenTimes.create({
      tokensPerEvent: 4,
      batch: () => 1,
      record: () => {
        count += 1;
      },
    });
    for (const atMs of [0, 10, 20, 6000]) {
      times.onEvent(atMs);
    }
    expect(count).to.equal(0);
  });
});
