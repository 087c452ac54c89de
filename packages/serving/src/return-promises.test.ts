import { expect } from 'chai';
import { FreedMemory, rateBeside } from './freed-memory.js';
import { ReturnPromises } from './return-promises.js';

const rate = { tokensPerMs: 4, unknownMs: 0 };
const request = { priority: 5, tokens: 4000, maxWaitMs: 10_000 };

describe('promises of returns', () => {
  it('follow each other at the rate at which memory becomes free', () => {
    // Guards against callers who all come back at the same time.
    const promises = ReturnPromises.create(() => 0);
    const waits = Array.from({ length: 4 }, () => promises.promise(request, rate, 0));
    expect(waits).to.deep.equal([600, 1000, 2000, 3000]);
    expect(promises.promise({ ...request, maxWaitMs: 500 }, rate, 0)).to.equal(500);
  });

  it('count those of other nodes until they are due', () => {
    // Guards against nodes that promise the same memory as often as there are nodes that refuse.
    const promises = ReturnPromises.create(() => 0);
    promises.update('other', [{ priority: 5, tokens: 40_000, withinMs: 10_000 }], 0);
    expect(promises.promise(request, rate, 0)).to.equal(10_000);
    expect(promises.promise({ ...request, tokens: 0 }, rate, 5000)).to.equal(6000);
    promises.forget('other');
    expect(promises.promise(request, rate, 5000)).to.equal(1000);
  });

  it('are earlier for more urgent requests', () => {
    const promises = ReturnPromises.create(() => 0);
    for (let count = 0; count < 5; count += 1) {
      promises.promise(request, rate, 0);
    }
    expect(promises.promise({ ...request, priority: 0 }, rate, 0)).to.equal(600);
    expect(promises.promise(request, rate, 0)).to.equal(6000);
  });

  it('are spread where nodes do not know of each other yet', () => {
    const promises = ReturnPromises.create(() => 0.5);
    expect(promises.promise(request, { ...rate, unknownMs: 500 }, 0)).to.equal(850);
  });
});

describe('freed memory', () => {
  it('has no rate before enough generations have ended', () => {
    // Guards against refusals at once because a single short generation has ended in the last seconds.
    const freed = FreedMemory.create();
    for (let count = 0; count < 4; count += 1) {
      freed.record(1000, 0);
    }
    expect(freed.tokensPerMs(0)).to.equal(0);
    freed.record(1000, 0);
    expect(freed.tokensPerMs(0)).to.equal(1);
    expect(freed.tokensPerMs(5001)).to.equal(0);
  });

  it('leaves less to requests beside more urgent ones', () => {
    expect(rateBeside(10, 4)).to.equal(6);
    expect(rateBeside(10, 40)).to.equal(1);
  });
});
