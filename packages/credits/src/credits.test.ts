import type { UpstreamUsage, LoadReport, Upstream } from '@zinniagrade/types';
import { expect } from 'chai';
import fc from 'fast-check';
import type { CreditOwnerState } from './index.js';
import { Candidate, CreditOwner, divide, hash32, rendezvous, stepCreditOwner } from './index.js';

const upstream: Upstream = {
  id: 'u1',
  kind: 'engine',
  dataCentre: 'd1',
  host: '127.0.0.1',
  port: 1,
  services: ['s'],
  version: 'v1',
  capacity: { slots: 8, memoryTokens: 8000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
};

const report = (sequence: number, part: Partial<LoadReport> = {}): LoadReport => ({
  sequence,
  at: sequence * 500,
  running: 0,
  waiting: 0,
  memoryTokensUsed: 0,
  memoryTokensTotal: 8000,
  preemptions: 0,
  warm: true,
  version: 'v1',
  ...part,
});

const entry = (part: Partial<UpstreamUsage> = {}): UpstreamUsage => ({
  upstream: 'u1',
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
  ...part,
});

/** An owner of `u1` that is driven by hand; 250 ms pass with each call. */
const createOwner = (regionNodes: readonly string[] = ['n1']) => {
  let state: CreditOwnerState = CreditOwner.create('n1', 0);
  let now = 0;
  let sequence = 0;
  const step = (event: Parameters<typeof stepCreditOwner>[1]) => {
    const result = stepCreditOwner(state, event, now);
    state = result.state;
    return result.actions;
  };
  step({ kind: 'ownership', owned: [{ upstream, learnedAs: 'm' }], regionNodes });
  const pass = () => {
    now += 250;
    step({ kind: 'tick' });
  };
  const load = (part: Partial<LoadReport> = {}) => {
    sequence += 1;
    step({ kind: 'load-report', upstream: 'u1', report: report(sequence, part) });
  };
  /** Slots granted to a node, undefined without a grant. */
  const ask = (part: Partial<UpstreamUsage> & { running?: number } = {}, node = 'n1') => {
    pass();
    sequence += 1;
    load({ running: part.running ?? part.requests ?? 0 });
    const actions = step({
      kind: 'demand',
      node,
      demand: {
        kind: 'credit-demand',
        sequence,
        oldestUsable: sequence,
        inFlight: [entry(part)],
      },
    });
    const [sent] = actions.flatMap((action) => (action.kind === 'send' ? [action.to.message] : []));
    return sent?.kind === 'credit-grant' ? sent.limits[0] : undefined;
  };
  const takeOver = (part: Partial<UpstreamUsage> = {}) => {
    for (let i = 0; i < 13; i += 1) {
      ask(part);
    }
  };
  return { ask, takeOver, load, pass };
};

describe('owner of an upstream', () => {
  it('grants nothing in the first 3 s, while limits of an earlier owner may be in use', () => {
    const { ask } = createOwner();
    const grants = Array.from({ length: 14 }, () => ask({ wantedRequests: 4, warm: true }));
    expect(grants.findIndex((grant) => grant !== undefined)).to.be.within(11, 12);
  });

  it('starts cold unless both the upstream and the nodes call it warm', () => {
    const warm = createOwner();
    warm.takeOver({ warm: true });
    expect(warm.ask({ wantedRequests: 8 })?.slots).to.equal(8);
    for (const called of [{}, { warm: false }]) {
      const { takeOver, ask } = createOwner();
      takeOver(called);
      expect(ask({ wantedRequests: 8 })?.slots).to.equal(1);
    }
  });

  it('doubles after as many normal completions as the capacity, and not for slow ones', () => {
    const { takeOver, ask } = createOwner();
    takeOver();
    ask({ completed: 1, wantedRequests: 8, betweenTokensMs: 400 });
    expect(ask({ wantedRequests: 8 })?.slots).to.equal(1);
    ask({ completed: 1, wantedRequests: 8, betweenTokensMs: 30 });
    expect(ask({ wantedRequests: 8 })?.slots).to.equal(2);
    ask({ completed: 2, wantedRequests: 8 });
    expect(ask({ wantedRequests: 8 })?.slots).to.equal(4);
  });

  for (const [what, sign] of [
    ['failures', { failed: 3 }],
    ['slow tokens', { completed: 6, betweenTokensMs: 900 }],
  ] as const) {
    it(`puts a warm upstream back to cold after ${what}`, () => {
      const { takeOver, ask } = createOwner();
      takeOver({ warm: true });
      expect(ask(sign)?.slots).to.be.at.most(1);
    });
  }

  it('puts a warm upstream back to cold when it calls itself cold', () => {
    const { takeOver, ask, load } = createOwner();
    takeOver({ warm: true });
    load({ warm: false });
    expect(ask({ wantedRequests: 8 })?.slots).to.equal(1);
  });

  it('keeps the fallback share of a node that it has not heard', () => {
    const { takeOver, ask } = createOwner(['n1', 'n2']);
    takeOver({ warm: true });
    expect(ask({ wantedRequests: 8 })?.slots).to.equal(4);
  });

  it('counts the work of a node that fell silent until the reports show that it has ended', () => {
    const { takeOver, ask, load } = createOwner();
    takeOver({ warm: true });
    ask({ requests: 6, wantedRequests: 2 }, 'n2');
    const slots = (running: number) =>
      Array.from({ length: 24 }, () => {
        load({ running });
        return ask({ wantedRequests: 8, running })?.slots;
      }).at(-1);
    expect(slots(6)).to.equal(2);
    expect(slots(1)).to.equal(7);
    expect(slots(0)).to.equal(8);
  });
});

describe('division', () => {
  it('is max-min fair in whole units and never gives out more than there is', () => {
    const needs = fc.array(fc.nat(40), { minLength: 1, maxLength: 9 });
    fc.assert(
      fc.property(needs, fc.nat(64), fc.boolean(), (list, capacity, spread) => {
        const claims = list.map((need, index) => ({
          id: `${index}`,
          need,
          rank: hash32(`${index}`),
        }));
        const parts = divide(capacity, claims, spread);
        const total = [...parts.values()].reduce((a, b) => a + b, 0);
        expect(total).to.be.at.most(capacity);
        const wanted = list.reduce((a, b) => a + b, 0);
        expect(total).to.be.at.least(Math.min(capacity, wanted));
        const unmet = claims.filter(({ id, need }) => (parts.get(id) ?? 0) < need);
        const lowest = Math.min(...unmet.map(({ id }) => parts.get(id) ?? 0));
        for (const part of unmet.length === 0 ? [] : parts.values()) {
          expect(part).to.be.at.most(lowest + 1);
        }
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});

describe('rendezvous hashing', () => {
  it('moves only the keys of a lost candidate, and spreads keys evenly', () => {
    const all = Array.from({ length: 8 }, (_, index) => Candidate.create(`n${index}`));
    const keys = Array.from({ length: 4000 }, (_, index) => hash32(`u${index}`));
    const counts = new Map<string, number>();
    for (const key of keys) {
      const owner = rendezvous(key, all) ?? '';
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
      const without = rendezvous(
        key,
        all.filter(({ id }) => id !== 'n3'),
      );
      expect(owner === 'n3' || without === owner).to.equal(true);
    }
    expect(Math.min(...counts.values())).to.be.above(400);
  });
});
