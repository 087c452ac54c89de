import { expectedBody, streamEventCount } from '@zinniagrade/platform-adapter/standins';
import { expect } from 'chai';
import { findViolations } from './checks.js';
import { Ledger, type SentRequest } from './ledger.js';

const sealed = { complete: true, sealed: true };

const requestOf = (part: Partial<SentRequest>): SentRequest => ({
  id: 'r1',
  kind: 'write',
  key: 'key-1',
  gateway: 'g1',
  sentAtMs: 10_000,
  endedAtMs: 10_020,
  answer: { status: 200, body: expectedBody('r1'), ...sealed },
  ...part,
});

const runOf = (atMs = 10_010, continued = false): Ledger['runs'][number] => ({
  requestId: 'r1',
  worker: 'app-1',
  atMs,
  continued,
});

const promisesOf = (ledger: Ledger): readonly string[] =>
  findViolations(ledger).map(({ promise }) => promise);

const streamUpTo = (count: number): string =>
  Array.from({ length: count }, (_, index) => `id: ${String(index + 1)}\n\n`).join('');

describe('checks of the soak', () => {
  it('find nothing in a day on which all went well', () => {
    const ledger = Ledger.create();
    ledger.requests.push(requestOf({}));
    ledger.runs.push(runOf());
    expect(findViolations(ledger)).to.deep.equal([]);
  });

  it('find a request that ran twice, but not a run that went on from a copy', () => {
    const ledger = Ledger.create();
    ledger.requests.push(requestOf({}));
    ledger.runs.push(runOf(), runOf(10_015, true));
    expect(promisesOf(ledger)).to.deep.equal([]);
    ledger.runs.push(runOf(10_016));
    expect(promisesOf(ledger)).to.deep.equal(['at-most-once']);
  });

  it('find a refusal that says "not run" of a request that ran', () => {
    const ledger = Ledger.create();
    const answer = { status: 503, body: '', complete: true, sealed: false };
    ledger.requests.push(requestOf({ answer }));
    expect(promisesOf(ledger)).to.deep.equal([]);
    ledger.runs.push(runOf(12_000));
    expect(promisesOf(ledger)).to.deep.equal(['not-run-is-true']);
  });

  it('find an answer to another request', () => {
    const ledger = Ledger.create();
    const answer = { status: 200, body: expectedBody('r2'), ...sealed };
    ledger.requests.push(requestOf({ answer }));
    expect(promisesOf(ledger)).to.deep.equal(['whole-answer-to-own-request']);
  });

  for (const [fault, body] of [
    ['an event that is missing', streamUpTo(5).replace('id: 3\n\n', '')],
    ['an event that comes twice', `${streamUpTo(5)}id: 5\n\n`],
    ['an early end that looks complete', streamUpTo(streamEventCount - 1)],
  ] as const) {
    it(`find a stream with ${fault}`, () => {
      const ledger = Ledger.create();
      ledger.requests.push(requestOf({ kind: 'text', answer: { status: 200, body, ...sealed } }));
      expect(promisesOf(ledger)).to.deep.equal(['whole-answer-to-own-request']);
    });
  }

  it('find work for a worker that left, unless the gateway was disturbed', () => {
    const ledger = Ledger.create();
    ledger.requests.push(requestOf({}));
    ledger.runs.push(runOf());
    ledger.withdrawals.push({ worker: 'app-1', fromMs: 7000, toMs: Infinity });
    expect(promisesOf(ledger)).to.deep.equal(['leaving-upstream']);
    ledger.disturbances.push({ gateway: 'g1', fromMs: 8000, toMs: 9000 });
    expect(promisesOf(ledger)).to.deep.equal([]);
  });

  it('find a revoked key that still works, and a valid one that does not', () => {
    const ledger = Ledger.create();
    const answer = { status: 401, body: '', complete: true, sealed: false };
    ledger.requests.push(requestOf({}), requestOf({ id: 'r2', key: 'key-2', answer }));
    ledger.runs.push(runOf());
    ledger.revokedAtMs.set('key-1', 5000);
    expect(promisesOf(ledger)).to.deep.equal(['configuration-in-force', 'configuration-in-force']);
  });

  it('find a gateway that goes back to an older configuration', () => {
    const ledger = Ledger.create();
    const answer = { status: 401, body: '', complete: true, sealed: false };
    ledger.revokedAtMs.set('key-1', 9500);
    ledger.requests.push(requestOf({ id: 'r0', sentAtMs: 9900, answer }), requestOf({}));
    expect(promisesOf(ledger)).to.deep.equal(['configuration-never-reverts']);
  });

  it('find a gateway that ended by itself', () => {
    const ledger = Ledger.create();
    ledger.ownEnds.push('g1');
    expect(promisesOf(ledger)).to.deep.equal(['stays-up']);
  });

  it('find that too little is served after the last fault', () => {
    const ledger = Ledger.create();
    ledger.quietFromMs = 0;
    const answer = { status: 0, body: '', complete: false, sealed: false };
    ledger.requests.push(requestOf({ answer }));
    expect(promisesOf(ledger)).to.deep.equal(['recovery']);
  });
});
