import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { planStartFaults } from './start-fault-plan.js';

const options = { gatewayCount: 4, faultPeriodMs: 100_000, graceMs: 3000 };

describe('plan of start faults', () => {
  it('is the same for the same seed', () => {
    // Guards against a violation that can't be repeated from its seed.
    const faults = planStartFaults(Random.create(7), options);
    expect(planStartFaults(Random.create(7), options)).to.deep.equal(faults);
  });

  it('reloads settings in every state within the first 600 ms', () => {
    // Guards against a plan that misses the time in which a signal once ended a process.
    const reloads = planStartFaults(Random.create(7), options).flatMap((fault) =>
      fault.kind === 'reload-in-start' ? [fault] : [],
    );
    expect(new Set(reloads.map(({ settings }) => settings)).size).to.equal(3);
    expect(reloads.some(({ signalAfterMs }) => signalAfterMs < 100)).to.equal(true);
    expect(reloads.every(({ signalAfterMs }) => signalAfterMs < 600)).to.equal(true);
  });
});
