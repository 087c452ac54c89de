import { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import { minDispatchTtlMs } from './ticket.js';

/** What became of a call, as every caller with its key is told. */
export type CallOutcome =
  | { readonly ok: true; readonly result: unknown }
  | { readonly ok: false; readonly failure: Failure };

type Progress =
  | { readonly kind: 'running' }
  | { readonly kind: 'answered'; readonly outcome: CallOutcome; readonly bytes: number }
  /** Answered, but the answer was dropped to stay within the memory bound. */
  | { readonly kind: 'forgotten' }
  /** It is proved that the call did not run, so it may be dispatched again. */
  | { readonly kind: 'not-run' };

interface CallRecord {
  readonly fingerprint: string;
  readonly expiresAt: Milliseconds;
  readonly progress: Progress;
}

export interface RecordBounds {
  readonly maxRecords: number;
  /** Answers kept for repeats; beyond it the oldest answers are dropped, but never their records. */
  readonly maxAnswerBytes: number;
}

export const defaultRecordBounds: RecordBounds = {
  maxRecords: 100_000,
  maxAnswerBytes: 16 * 1024 * 1024,
};

/**
 * The at-most-once records of one process incarnation, by account and key. The functions below
 * change it in place: a copy per call would cost more than the call.
 */
export interface RecordTable {
  readonly bounds: RecordBounds;
  readonly records: Map<string, CallRecord>;
  /** Highest wall clock reading so far; an expired key stays expired when the clock is set back. */
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

/** What to do with a call whose key this incarnation owns. */
export type RecordDecision =
  /** The record is now running: dispatch the call and report with `finishCall`. */
  | { readonly kind: 'dispatch' }
  /** The first call with the key is running: wait for its outcome. */
  | { readonly kind: 'join' }
  | { readonly kind: 'answer'; readonly outcome: CallOutcome }
  | { readonly kind: 'refuse'; readonly failure: Failure };

const refuse = (failure: Failure): RecordDecision => ({ kind: 'refuse', failure });

const decideRecorded = (record: CallRecord, fingerprint: string): RecordDecision | undefined => {
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
        Failure.create('outcome-unknown', 'the call was answered; its answer is no longer kept'),
      );
    case 'not-run':
      return undefined;
  }
};

const advance = (table: RecordTable, nowMs: Milliseconds): void => {
  table.latestWallMs = Math.max(table.latestWallMs, nowMs);
};

/** The decision from the record alone; `undefined` when no record settles it. Changes nothing. */
export const lookUpCall = (
  table: RecordTable,
  key: string,
  fingerprint: string,
): RecordDecision | undefined => {
  const record = table.records.get(key);
  return record === undefined ? undefined : decideRecorded(record, fingerprint);
};

/**
 * Decides on a call whose key names this incarnation. An expired key is never dispatched: it is
 * answered from its record, or refused as unknown.
 */
export const beginCall = (
  table: RecordTable,
  key: string,
  fingerprint: string,
  expiresAt: Milliseconds,
  nowMs: Milliseconds,
): RecordDecision => {
  advance(table, nowMs);
  const recorded = lookUpCall(table, key, fingerprint);
  if (recorded !== undefined) {
    return recorded;
  }
  if (expiresAt - table.latestWallMs < minDispatchTtlMs) {
    return refuse(
      Failure.create('idempotency-key-expired', 'the key has expired; whether it ran is unknown'),
    );
  }
  if (!table.records.has(key) && table.records.size >= table.bounds.maxRecords) {
    dropExpired(table, nowMs);
    if (table.records.size >= table.bounds.maxRecords) {
      return refuse(Failure.create('overloaded', 'the table of running keys is full', 1_000));
    }
  }
  table.records.set(key, { fingerprint, expiresAt, progress: { kind: 'running' } });
  return { kind: 'dispatch' };
};

const dropOldAnswers = (table: RecordTable): void => {
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

/** Records what became of a dispatched call. `bytes` is the size of the answer. */
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
  dropOldAnswers(table);
};

/** Removes the records of expired keys, except those that still run. */
export const dropExpired = (table: RecordTable, nowMs: Milliseconds): void => {
  advance(table, nowMs);
  for (const [key, { expiresAt, progress }] of table.records) {
    if (expiresAt < table.latestWallMs && progress.kind !== 'running') {
      table.answerBytes -= progress.kind === 'answered' ? progress.bytes : 0;
      table.records.delete(key);
    }
  }
};
