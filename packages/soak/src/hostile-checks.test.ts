import { expect } from 'chai';
import { checkHostileCallers } from './hostile-checks.js';
import { Observations, type FaultPeriod } from './observations.js';

const hostilePeriod: FaultPeriod = {
  kind: 'hostile-callers',
  gateway: 'g1',
  fromMs: 10_000,
  toMs: 14_000,
};

const observe = (status: number, otherFaults: readonly FaultPeriod[] = []): Observations => {
  const observations = Observations.create();
  observations.faultPeriods.push(hostilePeriod, ...otherFaults);
  for (let index = 0; index < 40; index += 1) {
    const sentAtMs = 10_000 + 50 * index;
    const answer = { status, body: '', complete: true, sealed: true };
    const request = { id: `r${String(index)}`, kind: 'read', key: 'key-1', gateway: 'g1' } as const;
    observations.requests.push({ ...request, sentAtMs, endedAtMs: sentAtMs + 20, answer });
  }
  return observations;
};

describe('check of hostile callers', () => {
  it('reports ordinary requests that are not served beside them', () => {
    // Guards against a gateway that stays within its memory by refusing everyone.
    expect(checkHostileCallers(observe(200))).to.deep.equal([]);
    expect(checkHostileCallers(observe(503))).to.deep.equal([
      {
        promise: 'serves-beside-hostile-callers',
        detail: '0 of 40 requests served beside hostile callers (40 x 503)',
      },
    ]);
  });

  it('judges no requests beside another fault', () => {
    // Guards against a violation that another fault explains.
    const store = { kind: 'store-away', fromMs: 8000, toMs: 11_000 };
    expect(checkHostileCallers(observe(503, [store]))).to.deep.equal([]);
    const unread = { ...hostilePeriod, calls: 'unread-answers' } as const;
    expect(checkHostileCallers(observe(503, [unread]))).to.deep.equal([]);
  });
});
