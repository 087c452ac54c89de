import type { Milliseconds, VersionEvidence, VersionId } from '@zinniagrade/types';
import { addEvidence, type EvidenceTable } from './evidence.js';

const secondMs = 1000;
/** Faults are detected in windows of up to this length, or in the counts of the whole move. */
const windowSeconds = 30;
/** Each of the last 6 seconds is the start of a window; before that, every fourth second is. */
const denseStartSeconds = 6;
const sparseStartIntervalSeconds = 4;
/** Number of seconds kept for a coordinator that begins, or that resumes after a pause. */
const maxKeptSeconds = 60;
/** Maximum length of the ranges of seconds that such a coordinator judges. */
const maxRangeSeconds = 30;

/** Counts of one second. */
export interface SecondCounts {
  readonly second: number;
  readonly evidence: EvidenceTable;
}

export const secondOf = (at: Milliseconds): number => Math.floor(at / secondMs);

const hasVersion = ({ evidence }: SecondCounts, version: VersionId): boolean =>
  Object.values(evidence).some((part) => part.version === version);

/** Adds answers to the current second; drops old seconds without answers of the new version. */
export const addToSecond = (
  seconds: readonly SecondCounts[],
  evidence: readonly VersionEvidence[],
  newVersion: VersionId,
  at: Milliseconds,
): readonly SecondCounts[] => {
  if (evidence.length === 0) {
    return seconds;
  }
  const second = secondOf(at);
  const latest = seconds.at(-1);
  if (latest?.second === second) {
    return [...seconds.slice(0, -1), { second, evidence: addEvidence(latest.evidence, evidence) }];
  }
  const kept = seconds.filter(
    (entry) => entry.second > second - windowSeconds || hasVersion(entry, newVersion),
  );
  return [...kept, { second, evidence: addEvidence({}, evidence) }].slice(-maxKeptSeconds);
};

/**
 * The counts from each of several start times until now. The start times stay the same as time
 * passes. `lagSeconds` extends the range into the past by the time that counts take to arrive.
 */
export const recentWindows = (
  seconds: readonly SecondCounts[],
  at: Milliseconds,
  lagSeconds = 0,
): readonly EvidenceTable[] => {
  const currentSecond = secondOf(at);
  const windows: EvidenceTable[] = [];
  let table: EvidenceTable = {};
  let pending: VersionEvidence[] = [];
  const newestFirst = seconds
    .filter(({ second }) => second > currentSecond - windowSeconds - lagSeconds)
    .sort((a, b) => b.second - a.second);
  for (const { evidence, second } of newestFirst) {
    pending.push(...Object.values(evidence));
    if (
      currentSecond - second < denseStartSeconds + lagSeconds ||
      second % sparseStartIntervalSeconds === 0
    ) {
      table = addEvidence(table, pending);
      pending = [];
      windows.push(table);
    }
  }
  return windows;
};

/**
 * The counts of every range of consecutive entries, among the last seconds with answers of the new
 * version.
 */
export const pastRanges = (
  seconds: readonly SecondCounts[],
  newVersion: VersionId,
): readonly EvidenceTable[] => {
  const oldestFirst = seconds
    .filter((entry) => hasVersion(entry, newVersion))
    .sort((a, b) => a.second - b.second)
    .slice(-maxRangeSeconds);
  return oldestFirst.flatMap((_, first) => {
    let range: EvidenceTable = {};
    return oldestFirst.slice(first).map(({ evidence }) => {
      range = addEvidence(range, Object.values(evidence));
      return range;
    });
  });
};

/** Replaces the counts of seconds that are in `newer`, and adds the others. */
export const replaceSeconds = (
  seconds: readonly SecondCounts[],
  newer: readonly SecondCounts[],
): readonly SecondCounts[] => {
  const replaced = new Set(newer.map(({ second }) => second));
  return [...seconds.filter(({ second }) => !replaced.has(second)), ...newer].slice(
    -maxKeptSeconds,
  );
};
