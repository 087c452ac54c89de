import { expect } from 'chai';
import { measureBootMs, readProcessorTime } from './processor-time.js';

describe('processor time', () => {
  it('is read for a process that runs, and not for one that has ended', () => {
    // Guards against bounds on starts that count the time of a busy machine, or fail on a dead one.
    expect(readProcessorTime(process.pid)?.usedMs).to.be.greaterThan(0);
    expect(readProcessorTime(2 ** 30)).to.equal(undefined);
  });

  it('of the boot of Node.js is far below that of a start of a gateway', () => {
    // Guards against an exemption that covers the whole start, in which signals once ended processes.
    expect(measureBootMs()).to.be.within(5, 400);
  }).timeout(20_000);
});
