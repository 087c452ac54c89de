import { Fleet } from '@zinniagrade/serving';
import { expect } from 'chai';
import { canRecover, canSwitchOver, type Standby } from './standby.js';

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

const noneWithdrawn: ReadonlySet<string> = new Set();

describe('standby', () => {
  it('allows a switch-over once its copy is certain to have arrived', () => {
    // Guards against stopping a run before its backup has arrived, which would lose the run.
    expect(canSwitchOver(createStandby(1500), noneWithdrawn, 1499)).to.equal(false);
    expect(canSwitchOver(createStandby(1500), noneWithdrawn, 1500)).to.equal(true);
  });

  it('is never used in a withdrawn data centre', () => {
    // Guards against continuing a stream in a data centre that gets no new work.
    const standby = createStandby(0);
    const withdrawn = new Set(['a']);
    expect(canSwitchOver(standby, withdrawn, 10)).to.equal(false);
    expect(canRecover(standby, withdrawn, 10)).to.equal(false);
  });

  it('is not used while its holder wants no requests', () => {
    const standby = createStandby(0);
    standby.holder.waitUntilMs = 100;
    expect(canRecover(standby, noneWithdrawn, 99)).to.equal(false);
    expect(canSwitchOver(standby, noneWithdrawn, 99)).to.equal(false);
    expect(canRecover(standby, noneWithdrawn, 100)).to.equal(true);
  });

  it('allows only recovery while its holder is leaving, and nothing once the holder is gone', () => {
    const standby = createStandby(0);
    standby.holder.leaving = true;
    expect(canSwitchOver(standby, noneWithdrawn, 10)).to.equal(false);
    expect(canRecover(standby, noneWithdrawn, 10)).to.equal(true);
    standby.holder.goneAtMs = 5;
    expect(canRecover(standby, noneWithdrawn, 10)).to.equal(false);
  });
});
