import { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import { minDispatchTtlMs } from './ticket.js';

/** The outcome of a call, returned to every request with its key. */
export type CallOutcome =
  | { readonly ok: true; readonly result: unknown }
  | { readonly ok: false; readonly failure: Failure };

type CallProgress =
  | { readonly kind: 'running' }
  | { readonly kind: 'answered'; readonly outcome: CallOutcome; readonly bytes: number }
  /** Answered, but the answer was evicted to stay within the memory limit. */
  | { readonly kind: 'forgotten' }
  /** The call is known not to have run, so it may be dispatched again. */
  | { readonly kind: 'not-run' };

interface CallRecord {
  readonly fingerprint: string;
  readonly expiresAt: Milliseconds;
  readonly progress: CallProgress;
}

export interface RecordBounds {
  readonly maxRecords: number;
  /** Limit on the total size of stored answers. The oldest are evicted, but never their records. */
  readonly maxAnswerBytes: number;
}

export const defaultRecordBounds: RecordBounds = {
  maxRecords: 100_000,
  maxAnswerBytes: 16 * 1024 * 1024,
};

/**
 * The at-most-once records of one process incarnation, by account and key. The functions below
 * modify it in place, because a copy per call would cost more than the call.
 */
export interface RecordTable {
  readonly bounds: RecordBounds;
  readonly records: Map<string, CallRecord>;
  /** Highest wall clock reading so far. An expired key stays expired if the clock is set back. */
  latestWallMs: Milliseconds;
  answerBytes: number;
}

export const RecordTable = {
  create: (bounds: RecordBounds = defaultRecordBounds): RecordTable => ({
    bounds,
    records: new Map(),
    latestWallMs: 0,
    answerBytes: 0,
  }),
};

/** How to handle a call whose key belongs to this process incarnation. */
export type RecordDecision =
  /** Dispatch the call, whose record is now `running`, and report its outcome with `finishCall`. */
  | { readonly kind: 'dispatch' }
  /** Wait for the outcome of the running call with the same key. */
  | { readonly kind: 'join' }
  | { readonly kind: 'answer'; readonly outcome: CallOutcome }
  | { readonly kind: 'refuse'; readonly failure: Failure };

const refuse = (failure: Failure): RecordDecision => ({ kind: 'refuse', failure });

const decideFromRecord = (record: CallRecord, fingerprint: string): RecordDecision | undefined => {
  if (record.fingerprint !== fingerprint) {
    return refuse(
      Failure.create('idempotency-key-reused', 'the key was used with another request'),
    );
  }
  switch (record.progress.kind) {
    case 'running':
      return { kind: 'join' };
    case 'answered':
      return { kind: 'answer', outcome: record.progress.outcome };
    case 'forgotten':
      return refuse(
        Failure.create('outcome-unknown', 'the call was answered, but its answer has been evicted'),
      );
    case 'not-run':
      return undefined;
  }
};

const advanceClock = (table: RecordTable, nowMs: Milliseconds): void => {
  table.latestWallMs = Math.max(table.latestWallMs, nowMs);
};

/** The decision that follows from an existing record, or `undefined`. Does not modify the table. */
export const lookUpCall = (
  table: RecordTable,
  key: string,
  fingerprint: string,
): RecordDecision | undefined => {
  const record = table.records.get(key);
  return record === undefined ? undefined : decideFromRecord(record, fingerprint);
};

/**
 * Decides on a call whose key belongs to this process incarnation. A call with an expired key is
 * never dispatched: it is answered from its record, or refused with an unknown outcome.
 */
export const beginCall = (
  table: RecordTable,
  key: string,
  fingerprint: string,
  expiresAt: Milliseconds,
  nowMs: Milliseconds,
): RecordDecision => {
  advanceClock(table, nowMs);
  const recorded = lookUpCall(table, key, fingerprint);
  if (recorded !== undefined) {
    return recorded;
  }
  if (expiresAt - table.latestWallMs < minDispatchTtlMs) {
    return refuse(
      Failure.create(
        'idempotency-key-expired',
        'the key has expired; whether its call ran is unknown',
      ),
    );
  }
  if (!table.records.has(key) && table.records.size >= table.bounds.maxRecords) {
    dropExpired(table, nowMs);
    if (table.records.size >= table.bounds.maxRecords) {
      return refuse(Failure.create('overloaded', 'the table of idempotency keys is full', 1_000));
    }
  }
  table.records.set(key, { fingerprint, expiresAt, progress: { kind: 'running' } });
  return { kind: 'dispatch' };
};

const evictOldAnswers = (table: RecordTable): void => {
  for (const [key, record] of table.records) {
    if (table.answerBytes <= table.bounds.maxAnswerBytes) {
      return;
    }
    if (record.progress.kind === 'answered') {
      table.answerBytes -= record.progress.bytes;
      table.records.set(key, { ...record, progress: { kind: 'forgotten' } });
    }
  }
};

/** Records the outcome of a dispatched call. `bytes` is the size of the answer. */
export const finishCall = (
  table: RecordTable,
  key: string,
  outcome: CallOutcome,
  provedNotRun: boolean,
  bytes: number,
): void => {
  const record = table.records.get(key);
  if (record?.progress.kind !== 'running') {
    return;
  }
  if (provedNotRun) {
    table.records.set(key, { ...record, progress: { kind: 'not-run' } });
    return;
  }
  table.answerBytes += bytes;
  table.records.set(key, { ...record, progress: { kind: 'answered', outcome, bytes } });
  evictOldAnswers(table);
};

/** Removes the records of expired keys, except those of running calls. */
export const dropExpired = (table: RecordTable, nowMs: Milliseconds): void => {
  advanceClock(table, nowMs);
  for (const [key, { expiresAt, progress }] of table.records) {
    if (expiresAt < table.latestWallMs && progress.kind !== 'running') {
      table.answerBytes -= progress.kind === 'answered' ? progress.bytes : 0;
      table.records.delete(key);
    }
  }
};
