import { Failure } from '@zinniagrade/errors';
import { expect } from 'chai';
import { callFingerprintOf } from './fingerprint.js';
import { RecordTable, beginCall, dropExpired, finishCall } from './record-table.js';

const ok = { ok: true, result: 1 } as const;

describe('record table', () => {
  it('dispatches a key once, makes a retry wait, and then answers from the record', () => {
    const table = RecordTable.create();
    expect(beginCall(table, 'k', 'f', 10_000, 0).kind).to.equal('dispatch');
    expect(beginCall(table, 'k', 'f', 10_000, 1).kind).to.equal('join');
    finishCall(table, 'k', ok, false, 1);
    expect(beginCall(table, 'k', 'f', 10_000, 2)).to.deep.equal({ kind: 'answer', outcome: ok });
  });

  it('refuses a different body with the same key', () => {
    const table = RecordTable.create();
    beginCall(table, 'k', 'f', 10_000, 0);
    expect(beginCall(table, 'k', 'other', 10_000, 1)).to.have.nested.property(
      'failure.kind',
      'idempotency-key-reused',
    );
  });

  it('dispatches again only a call that is known not to have run', () => {
    const table = RecordTable.create();
    beginCall(table, 'k', 'f', 10_000, 0);
    const failure = Failure.create('upstream-refused', 'full');
    finishCall(table, 'k', { ok: false, failure }, true, 1);
    expect(beginCall(table, 'k', 'f', 10_000, 1).kind).to.equal('dispatch');
  });

  it('never dispatches an expired key, even if its record was removed and the clock set back', () => {
    const table = RecordTable.create();
    beginCall(table, 'k', 'f', 10_000, 0);
    finishCall(table, 'k', ok, false, 1);
    dropExpired(table, 10_001);
    expect(table.records.size).to.equal(0);
    expect(beginCall(table, 'k', 'f', 10_000, 5)).to.have.nested.property(
      'failure.kind',
      'idempotency-key-expired',
    );
  });

  it('evicts answers but no records at the memory limit, and refuses new keys when full', () => {
    const table = RecordTable.create({ maxRecords: 2, maxAnswerBytes: 10 });
    for (const key of ['a', 'b']) {
      beginCall(table, key, 'f', 10_000, 0);
      finishCall(table, key, ok, false, 8);
    }
    expect(beginCall(table, 'a', 'f', 10_000, 1)).to.have.nested.property(
      'failure.kind',
      'outcome-unknown',
    );
    expect(beginCall(table, 'c', 'f', 10_000, 1)).to.have.nested.property(
      'failure.kind',
      'overloaded',
    );
  });
});

describe('fingerprint', () => {
  it('depends on every value but not on the order of keys', () => {
    const body = { service: 's', operation: 'o' };
    const fingerprint = callFingerprintOf({ ...body, arguments: { a: 1, b: { c: 2, d: 3 } } });
    expect(callFingerprintOf({ ...body, arguments: { b: { d: 3, c: 2 }, a: 1 } })).to.equal(
      fingerprint,
    );
    expect(callFingerprintOf({ ...body, arguments: { b: { d: 3, c: 4 }, a: 1 } })).to.not.equal(
      fingerprint,
    );
  });
});
