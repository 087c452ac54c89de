import { Fleet } from '@zinniagrade/serving';
import { expect } from 'chai';
import { isLastResort, isReady, type Standby } from './standby.js';

const createStandby = (readyAtMs: number): Standby => {
  const fleet = Fleet.create();
  const holder = fleet.register(
    {
      id: 'engine-1',
      service: 'text',
      address: '127.0.0.1:1',
      dataCentre: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
    },
    0,
  );
  return { holder, copy: { reference: '127.0.0.1:1/run' }, readyAtMs };
};

const nowhere: ReadonlySet<string> = new Set();

describe('standby', () => {
  it('is ready once its copy is certain to be there', () => {
    // Guards against stopping a run whose backup has not arrived yet: it would be lost.
    expect(isReady(createStandby(1500), nowhere, 1499)).to.equal(false);
    expect(isReady(createStandby(1500), nowhere, 1500)).to.equal(true);
  });

  it('is never used in a withdrawn data centre', () => {
    // Guards against continuing a stream at an engine whose data centre gets no new work.
    const standby = createStandby(0);
    const withdrawn = new Set(['a']);
    expect(isReady(standby, withdrawn, 10)).to.equal(false);
    expect(isLastResort(standby, withdrawn)).to.equal(false);
  });

  it('is a last resort while its holder leaves, but not once the holder is gone', () => {
    const standby = createStandby(0);
    standby.holder.leaving = true;
    expect(isReady(standby, nowhere, 10)).to.equal(false);
    expect(isLastResort(standby, nowhere)).to.equal(true);
    standby.holder.goneAtMs = 5;
    expect(isLastResort(standby, nowhere)).to.equal(false);
  });
});
