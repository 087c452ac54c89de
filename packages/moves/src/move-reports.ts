import type {
  Incarnation,
  Milliseconds,
  MoveReport,
  NodeId,
  VersionEvidence,
} from '@zinniagrade/types';
import { addEvidence, type EvidenceTable } from './evidence.js';
import { replaceSeconds, type SecondCounts, secondOf } from './evidence-seconds.js';

const maxSentGrants = 16;

export interface SentGrant {
  readonly sequence: number;
  readonly at: Milliseconds;
}

/** The newest report of one process. Times are on the monotonic clock of the coordinator. */
export interface StoredReport {
  readonly node: NodeId;
  readonly incarnation: Incarnation;
  readonly receivedAt: Milliseconds;
  /**
   * The report contains every answer against the new version that the node saw before this time. It
   * is the sending time of the last grant that the node had received when it wrote the report;
   * undefined before its first grant.
   */
  readonly coversUntil: Milliseconds | undefined;
  readonly report: MoveReport;
  /** Counts by second of the node's clock. */
  readonly seconds: readonly SecondCounts[];
  /**
   * Estimate of the coordinator's clock minus the node's: the minimum, as link delay only adds to
   * it.
   */
  readonly clockOffsetMs: Milliseconds;
}

/**
 * Reports by node and incarnation. Those of ended processes are kept, as their counts remain valid.
 */
export type StoredReports = Readonly<Record<string, StoredReport>>;

const keyOf = (node: NodeId, incarnation: Incarnation): string => `${node}/${incarnation}`;

export const withSentGrant = (
  sent: readonly SentGrant[],
  sequence: number,
  at: Milliseconds,
): readonly SentGrant[] => [...sent, { sequence, at }].slice(-maxSentGrants);

/** Replaces the stored report of a process; a repeated or older report changes nothing. */
export const withReport = (
  reports: StoredReports,
  node: NodeId,
  report: MoveReport,
  sent: readonly SentGrant[],
  now: Milliseconds,
): StoredReports => {
  const key = keyOf(node, report.incarnation);
  const stored = reports[key];
  if (stored !== undefined && stored.report.sequence >= report.sequence) {
    return reports;
  }
  const seconds = report.seconds.map(({ evidence, second }) => ({
    second,
    evidence: addEvidence({}, evidence),
  }));
  const answered = sent.find(({ sequence }) => sequence === report.grantSequence);
  return {
    ...reports,
    [key]: {
      node,
      incarnation: report.incarnation,
      receivedAt: now,
      coversUntil: answered?.at ?? stored?.coversUntil,
      report,
      seconds: report.whole ? seconds : replaceSeconds(stored?.seconds ?? [], seconds),
      clockOffsetMs: Math.min(stored?.clockOffsetMs ?? Infinity, now - report.at),
    },
  };
};

/** The report of the newest process of a node. */
export const latestReportOf = (reports: StoredReports, node: NodeId): StoredReport | undefined => {
  let latest: StoredReport | undefined;
  for (const stored of Object.values(reports)) {
    if (stored.node === node && (latest === undefined || stored.incarnation > latest.incarnation)) {
      latest = stored;
    }
  }
  return latest;
};

/**
 * The time up to which the evidence of all these nodes is known; undefined while any of them has
 * not answered a grant.
 */
export const coveredUntil = (
  reports: StoredReports,
  nodes: readonly NodeId[],
): Milliseconds | undefined => {
  let until: Milliseconds | undefined;
  const newest: Record<NodeId, StoredReport> = {};
  for (const stored of Object.values(reports)) {
    const known = newest[stored.node];
    if (known === undefined || stored.incarnation > known.incarnation) {
      newest[stored.node] = stored;
    }
  }
  for (const node of nodes) {
    const covers = newest[node]?.coversUntil;
    if (covers === undefined) {
      return undefined;
    }
    until = until === undefined ? covers : Math.min(until, covers);
  }
  return until;
};

/** The counts of all processes summed. */
export const sumReports = (reports: StoredReports): EvidenceTable =>
  addEvidence(
    {},
    Object.values(reports).flatMap(({ report }) => report.evidence),
  );

/** The counts of all processes by second, on the coordinator's clock. */
export const sumSeconds = (reports: StoredReports): readonly SecondCounts[] => {
  const sums = new Map<number, VersionEvidence[]>();
  for (const { clockOffsetMs, seconds } of Object.values(reports)) {
    for (const { evidence, second } of seconds) {
      const localSecond = secondOf(second * 1000 + clockOffsetMs);
      const evidenceOfSecond = sums.get(localSecond) ?? [];
      evidenceOfSecond.push(...Object.values(evidence));
      sums.set(localSecond, evidenceOfSecond);
    }
  }
  return [...sums].map(([second, evidence]) => ({ second, evidence: addEvidence({}, evidence) }));
};
