import { expect } from 'chai';
import type { AdmissionAction, AdmissionEvent, AdmissionState, PendingRequest } from './index.js';
import { Admission, stepAdmission } from './index.js';

const request = (id: string, overrides: Partial<PendingRequest> = {}): PendingRequest => ({
  id,
  clientAccount: 'a',
  weight: 1,
  class: 'long-generation',
  pool: 'm1',
  cost: 100,
  arrivedAt: 0,
  deadlineAt: 1600,
  firstAnswerMs: 100,
  ...overrides,
});

/**
 * An admission queue with room for a number of requests at once in pools named `m…`, and no limit
 * in others.
 */
const createHarness = (slots: number) => {
  let state: AdmissionState = Admission.create();
  const inFlight = new Set<string>();
  const step = (event: AdmissionEvent, now: number): readonly AdmissionAction<string>[] => {
    if (event.kind === 'end') {
      inFlight.delete(event.id);
    }
    const result = stepAdmission<string>(state, event, now, ({ id, pool }) => {
      if (pool.startsWith('m') && inFlight.size >= slots) {
        return undefined;
      }
      inFlight.add(id);
      return 'u1';
    });
    state = result.state;
    return result.actions;
  };
  return { step, state: () => state, inFlight };
};

const ids = (actions: readonly AdmissionAction<string>[], kind: string): string[] =>
  actions.filter((action) => action.kind === kind).map(({ id }) => id);

describe('admission', () => {
  it('dispatches at once while there is room, and queues further requests until one ends', () => {
    const { step } = createHarness(1);
    expect(ids(step({ kind: 'arrive', request: request('r1') }, 0), 'dispatch')).to.eql(['r1']);
    expect(step({ kind: 'arrive', request: request('r2') }, 0)).to.eql([]);
    expect(ids(step({ kind: 'end', id: 'r1' }, 50), 'dispatch')).to.eql(['r2']);
  });

  it('shares the room by weight, so that a large account cannot push out a small one', () => {
    const { step, state } = createHarness(12);
    for (let i = 0; i < 60; i += 1) {
      step({ kind: 'arrive', request: request(`big${i}`) }, 0);
    }
    for (let i = 0; i < 20; i += 1) {
      const small = { clientAccount: 'b', weight: 2 };
      step({ kind: 'arrive', request: request(`small${i}`, small) }, 0);
    }
    for (let i = 0; i < 12; i += 1) {
      step({ kind: 'end', id: `big${i}` }, 10);
    }
    expect(state().pools.m1?.inFlight).to.eql({ a: 400, b: 800 });
  });

  it('never lets a lookup wait behind generations', () => {
    const { step } = createHarness(1);
    step({ kind: 'arrive', request: request('r1') }, 0);
    step({ kind: 'arrive', request: request('r2') }, 0);
    const lookup = request('l1', { pool: 'status', class: 'lookup', cost: 1 });
    expect(ids(step({ kind: 'arrive', request: lookup }, 0), 'dispatch')).to.eql(['l1']);
  });

  it('refuses early, with the time after which a retry would be accepted', () => {
    const { step } = createHarness(1);
    // Throughput of the pool: one request of cost 100 per second.
    let now = 0;
    for (let i = 0; i < 40; i += 1) {
      step({ kind: 'arrive', request: request(`w${i}`, { deadlineAt: now + 1600 }) }, now);
      now += 1000;
      step({ kind: 'end', id: `w${i}` }, now);
    }
    const at = (id: string) => request(id, { arrivedAt: now, deadlineAt: now + 1600 });
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      expect(ids(step({ kind: 'arrive', request: at(id) }, now), 'refuse')).to.eql([]);
    }
    const [refusal] = step({ kind: 'arrive', request: at('f') }, now);
    expect(refusal).to.include({ kind: 'refuse', id: 'f', error: 'overloaded' });
    expect(refusal?.kind === 'refuse' && refusal.retryAfterMs).to.be.within(1000, 4000);
  });

  it('refuses a waiting request without running it once its deadline cannot be met', () => {
    const { step, inFlight } = createHarness(1);
    step({ kind: 'arrive', request: request('r1') }, 0);
    step({ kind: 'arrive', request: request('r2') }, 0);
    expect(ids(step({ kind: 'tick' }, 1400), 'refuse')).to.eql([]);
    expect(ids(step({ kind: 'tick' }, 1501), 'refuse')).to.eql(['r2']);
    expect([...inFlight]).to.eql(['r1']);
  });

  it('dispatches smaller requests while the one at the head is too large', () => {
    let state = Admission.create();
    const place = ({ cost }: PendingRequest) => (cost < 1000 ? 'u1' : undefined);
    const large = request('large', { cost: 5000 });
    ({ state } = stepAdmission(state, { kind: 'arrive', request: large }, 0, place));
    const small: AdmissionEvent = { kind: 'arrive', request: request('small') };
    expect(ids(stepAdmission(state, small, 0, place).actions, 'dispatch')).to.eql(['small']);
  });
});
