import { expectedBody, streamEventCount } from '@zinniagrade/platform-adapter/standins';
import { expect } from 'chai';
import { findViolations } from './checks.js';
import { Observations, type SentRequest } from './observations.js';

const wholeAndSealed = { complete: true, sealed: true };

const sentRequest = (part: Partial<SentRequest>): SentRequest => ({
  id: 'r1',
  kind: 'write',
  key: 'key-1',
  gateway: 'g1',
  sentAtMs: 10_000,
  endedAtMs: 10_020,
  answer: { status: 200, body: expectedBody('r1'), ...wholeAndSealed },
  ...part,
});

const workerRun = (atMs = 10_010, continued = false): Observations['workerRuns'][number] => ({
  requestId: 'r1',
  worker: 'app-1',
  atMs,
  continued,
  endedAtMs: atMs + 100,
});

const brokenPromises = (observations: Observations): readonly string[] =>
  findViolations(observations).map(({ promise }) => promise);

const streamWithEvents = (count: number): string =>
  Array.from({ length: count }, (_, index) => `id: ${String(index + 1)}\n\n`).join('');

describe('soak checks', () => {
  it('report no violation when every request was answered correctly', () => {
    const observations = Observations.create();
    observations.requests.push(sentRequest({}));
    observations.workerRuns.push(workerRun());
    expect(findViolations(observations)).to.deep.equal([]);
  });

  it('report a stream that goes on at a worker while another one works on it', () => {
    // Guards against a check that can't see the fault of review/3.
    const observations = Observations.create();
    observations.requests.push(sentRequest({ kind: 'text' }));
    const first = { ...workerRun(10_010), endedAtMs: 15_000 };
    const second = { ...workerRun(11_000, true), worker: 'w2' };
    observations.workerRuns.push(first, second);
    expect(brokenPromises(observations)).to.include('one-worker-at-a-time');
    first.endedAtMs = 11_300;
    expect(brokenPromises(observations)).not.to.include('one-worker-at-a-time');
  });

  it('report a request that ran twice, but not a run that continued from a copy', () => {
    const observations = Observations.create();
    observations.requests.push(sentRequest({}));
    observations.workerRuns.push(workerRun(), workerRun(10_015, true));
    expect(brokenPromises(observations)).to.deep.equal([]);
    observations.workerRuns.push(workerRun(10_016));
    expect(brokenPromises(observations)).to.deep.equal(['at-most-once']);
  });

  it('report a "not run" refusal of a request that ran', () => {
    const observations = Observations.create();
    const answer = { status: 503, body: '', complete: true, sealed: false };
    observations.requests.push(sentRequest({ answer }));
    expect(brokenPromises(observations)).to.deep.equal([]);
    observations.workerRuns.push(workerRun(12_000));
    expect(brokenPromises(observations)).to.deep.equal(['not-run-is-true']);
  });

  it('report an answer that belongs to another request', () => {
    const observations = Observations.create();
    const answer = { status: 200, body: expectedBody('r2'), ...wholeAndSealed };
    observations.requests.push(sentRequest({ answer }));
    expect(brokenPromises(observations)).to.deep.equal(['whole-answer-to-own-request']);
  });

  for (const [fault, body] of [
    ['a missing event', streamWithEvents(5).replace('id: 3\n\n', '')],
    ['a duplicate event', `${streamWithEvents(5)}id: 5\n\n`],
    ['a premature end on a complete response', streamWithEvents(streamEventCount - 1)],
  ] as const) {
    it(`report a stream with ${fault}`, () => {
      const observations = Observations.create();
      observations.requests.push(
        sentRequest({ kind: 'text', answer: { status: 200, body, ...wholeAndSealed } }),
      );
      expect(brokenPromises(observations)).to.deep.equal(['whole-answer-to-own-request']);
    });
  }

  it('report a request sent to a drained worker, unless the gateway is exempt from timing bounds', () => {
    const observations = Observations.create();
    observations.requests.push(sentRequest({}));
    observations.workerRuns.push(workerRun());
    observations.drainPeriods.push({ worker: 'app-1', fromMs: 7000, toMs: Infinity });
    expect(brokenPromises(observations)).to.deep.equal(['leaving-upstream']);
    observations.timingExemptions.push({ gateway: 'g1', fromMs: 8000, toMs: 9000 });
    expect(brokenPromises(observations)).to.deep.equal([]);
  });

  it('report a revoked key that is accepted and a valid key that is refused', () => {
    const observations = Observations.create();
    const answer = { status: 401, body: '', complete: true, sealed: false };
    observations.requests.push(sentRequest({}), sentRequest({ id: 'r2', key: 'key-2', answer }));
    observations.workerRuns.push(workerRun());
    observations.keyRevokedAtMs.set('key-1', 5000);
    expect(brokenPromises(observations)).to.deep.equal([
      'configuration-in-force',
      'configuration-in-force',
    ]);
  });

  it('report a gateway that returns to an older configuration', () => {
    const observations = Observations.create();
    const answer = { status: 401, body: '', complete: true, sealed: false };
    observations.keyRevokedAtMs.set('key-1', 9500);
    observations.requests.push(sentRequest({ id: 'r0', sentAtMs: 9900, answer }), sentRequest({}));
    expect(brokenPromises(observations)).to.deep.equal(['configuration-never-reverts']);
  });

  it('report that too few requests are served after the last fault', () => {
    const observations = Observations.create();
    observations.faultsEndedAtMs = 0;
    const answer = { status: 0, body: '', complete: false, sealed: false };
    observations.requests.push(sentRequest({ answer }));
    expect(brokenPromises(observations)).to.deep.equal(['recovery']);
  });

  it('report requests to a worker that refuses or leaves, by a gateway that it has told', () => {
    const observations = Observations.create();
    for (const [index, gateway] of ['g1', 'g2', 'g1', 'g1', 'g1'].entries()) {
      const id = `r${String(index)}`;
      const sentAtMs = 10_000 + 1000 * index;
      const answer = { status: 503, body: '', complete: true, sealed: true };
      observations.requests.push(sentRequest({ id, gateway, sentAtMs, answer }));
      observations.workerRuns.push({ ...workerRun(sentAtMs + 10), requestId: id });
    }
    const statement = { requestId: 'r0', worker: 'app-1', atMs: 10_010 };
    observations.statements.push({ ...statement, kind: 'refuses', untilMs: 13_500 });
    expect(brokenPromises(observations)).not.to.include('keeps-to-statements');
    observations.statements.push({ ...statement, kind: 'refuses', untilMs: 14_500 });
    expect(brokenPromises(observations)).to.include('keeps-to-statements');
    observations.statements.splice(0, 2, { ...statement, kind: 'leaves', untilMs: 13_500 });
    expect(brokenPromises(observations)).to.include('keeps-to-statements');
  });
});
