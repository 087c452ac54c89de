import { expect } from 'chai';
import { errorResponses } from './error-responses.js';
import { Failure, Problem } from './failure.js';

describe('error responses', () => {
  const mayHaveRun = [
    'idempotency-key-expired',
    'upstream-failed',
    'upstream-timeout',
    'outcome-unknown',
    'generation-lost',
    'caller-too-slow',
    'protocol-violation',
    'internal',
  ];

  for (const [kind, response] of Object.entries(errorResponses)) {
    it(`reports ${kind} as ${mayHaveRun.includes(kind) ? 'unknown' : 'not run'}`, () => {
      expect(response.ran).to.equal(mayHaveRun.includes(kind) ? 'unknown' : 'not-run');
    });
  }

  it('does not mark a request that may have run as retriable', () => {
    for (const response of Object.values(errorResponses)) {
      if (response.ran === 'unknown') {
        expect(response.retriable).to.equal(false);
      }
    }
  });

  it('creates a problem document that carries the retry delay', () => {
    const problem = Problem.create(Failure.create('overloaded', 'queue is full', 250));
    expect(problem).to.include({ status: 503, ran: 'not-run', retryAfterMs: 250 });
  });
});
