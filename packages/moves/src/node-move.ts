import type {
  HeldShare,
  Incarnation,
  Milliseconds,
  Move,
  MoveReport,
  MoveShare,
  NodeId,
  VersionEvidence,
  VersionId,
} from '@zinniagrade/types';
import { addEvidence, evidenceOnRoute, evidenceOverall, type EvidenceTable } from './evidence.js';
import { addToSecond, type SecondCounts, secondOf } from './evidence-seconds.js';
import { firstSlowBucket } from './judge-version.js';

/**
 * Time between reports; after an answer that counts against the new version one is sent earlier.
 */
export const reportIntervalMs: Milliseconds = 1000;
/** Minimum time between two reports, which limits their number when many answers fail. */
export const minReportIntervalMs: Milliseconds = 100;
/** Number of sent reports that are remembered; a grant that answers an older one is ignored. */
const maxSentReports = 16;

interface SentReport {
  readonly sequence: number;
  readonly at: Milliseconds;
  /** The report contains all answers up to this time. */
  readonly coversUpTo: Milliseconds;
}

interface Counts {
  readonly total: EvidenceTable;
  readonly seconds: readonly SecondCounts[];
}

interface SuspectCounts extends Counts {
  readonly at: Milliseconds;
}

/** State of one running move at one node. Times are on the monotonic clock of the node. */
export interface NodeMove {
  readonly move: Move;
  readonly coordinator: NodeId | undefined;
  readonly total: EvidenceTable;
  readonly seconds: readonly SecondCounts[];
  readonly reportSequence: number;
  readonly sentReports: readonly SentReport[];
  /** The coordinator is known to have all answers up to this time. */
  readonly acknowledgedUpTo: Milliseconds;
  /** Whether the next report is due after `minReportIntervalMs` instead of `reportIntervalMs`. */
  readonly isReportUrgent: boolean;
  /**
   * The counts at the last answer that may count against the new version, if it is not reported
   * yet.
   */
  readonly suspectCounts: SuspectCounts | undefined;
  /** Sequence number of the last grant of the current coordinator; 0 without one. */
  readonly grantSequence: number;
  /** Sequence number and share of the newest grant above 0 from any coordinator; 0 without one. */
  readonly heardSequence: number;
  readonly heardShare: number;
  readonly held: HeldShare;
  /** Why the new version is bad, once a coordinator has reported it as bad. */
  readonly bad?: string;
}

const noShare: HeldShare = { share: 0, lapsesAt: 0 };

const lastSentAt = (state: NodeMove): Milliseconds => state.sentReports.at(-1)?.at ?? -Infinity;

/**
 * Answers as slow as the slowest part of this size of the old version's may count against the new
 * version. Larger than `slowAnswerShare` of the test, because the coordinator knows more answers of
 * the old version and may choose a lower bucket than this node.
 */
const suspectSlowShare = 0.15;

const hasSlowAnswers = (counts: readonly number[], oldCounts: readonly number[]): boolean =>
  counts.slice(firstSlowBucket(oldCounts, suspectSlowShare)).some((count) => count > 0);

const isSlower = (part: VersionEvidence, old: VersionEvidence | undefined): boolean =>
  old !== undefined &&
  (hasSlowAnswers(part.firstTokenCounts, old.firstTokenCounts) ||
    hasSlowAnswers(part.betweenTokensCounts, old.betweenTokensCounts));

/** Whether answers may count against the new version, on their route or over all routes. */
const mayCountAgainstNew = (
  { fromVersion, service, toVersion }: Move,
  total: EvidenceTable,
  part: VersionEvidence,
): boolean =>
  part.version === toVersion &&
  part.service === service &&
  (part.failed > 0 ||
    isSlower(part, evidenceOnRoute(total, fromVersion, part.route)) ||
    isSlower(part, evidenceOverall(total, fromVersion)));

const addCounts = (
  { seconds, total }: Counts,
  evidence: readonly VersionEvidence[],
  newVersion: VersionId,
  now: Milliseconds,
): Counts => ({
  total: evidence.length === 0 ? total : addEvidence(total, evidence),
  seconds: addToSecond(seconds, evidence, newVersion, now),
});

export const NodeMove = {
  create: (move: Move): NodeMove => ({
    move,
    coordinator: undefined,
    total: {},
    seconds: [],
    reportSequence: 0,
    sentReports: [],
    acknowledgedUpTo: 0,
    isReportUrgent: false,
    suspectCounts: undefined,
    grantSequence: 0,
    heardSequence: 0,
    heardShare: 0,
    held: noShare,
  }),

  /** Sets the coordinator. After a change, grants of the previous coordinator are dropped. */
  withCoordinator: (state: NodeMove, coordinator: NodeId | undefined): NodeMove =>
    coordinator === state.coordinator
      ? state
      : {
          ...state,
          coordinator,
          grantSequence: 0,
          held: noShare,
          sentReports: [],
          acknowledgedUpTo: 0,
          isReportUrgent: true,
        },

  withOutcomes: (
    state: NodeMove,
    evidence: readonly VersionEvidence[],
    now: Milliseconds,
  ): NodeMove => {
    const { fromVersion, service, toVersion } = state.move;
    const relevant = evidence.filter(
      (part) =>
        part.service === service && (part.version === fromVersion || part.version === toVersion),
    );
    if (relevant.length === 0) {
      return state;
    }
    const lastSuspectIndex = relevant.findLastIndex((part) =>
      mayCountAgainstNew(state.move, state.total, part),
    );
    if (lastSuspectIndex < 0) {
      return { ...state, ...addCounts(state, relevant, toVersion, now) };
    }
    const suspectCounts = {
      ...addCounts(state, relevant.slice(0, lastSuspectIndex + 1), toVersion, now),
      at: now,
    };
    return {
      ...state,
      ...addCounts(suspectCounts, relevant.slice(lastSuspectIndex + 1), toVersion, now),
      isReportUrgent: true,
      suspectCounts,
    };
  },

  /**
   * The report that is due now, if any. After an answer that may count against the new version it
   * contains the counts at that answer, as later good answers could hide a verdict that was reached
   * there. Those follow in the next report, sent soon after.
   */
  report: (
    state: NodeMove,
    incarnation: Incarnation,
    now: Milliseconds,
  ): { readonly state: NodeMove; readonly report?: MoveReport } => {
    const sinceLastReportMs = now - lastSentAt(state);
    if (
      state.coordinator === undefined ||
      sinceLastReportMs < (state.isReportUrgent ? minReportIntervalMs : reportIntervalMs)
    ) {
      return { state };
    }
    const { seconds, total } = state.suspectCounts ?? state;
    const whole = now >= state.held.lapsesAt;
    const sequence = state.reportSequence + 1;
    const sentReports = [
      ...state.sentReports,
      { sequence, at: now, coversUpTo: state.suspectCounts?.at ?? now },
    ].slice(-maxSentReports);
    return {
      state: {
        ...state,
        reportSequence: sequence,
        sentReports,
        isReportUrgent: total !== state.total,
        suspectCounts: undefined,
      },
      report: {
        move: state.move.id,
        incarnation,
        sequence,
        coordinator: state.coordinator,
        grantSequence: state.grantSequence,
        ...(state.suspectCounts === undefined ? {} : { urgent: true }),
        heardSequence: state.heardSequence,
        heardShare: state.heardShare,
        ...(state.bad === undefined ? {} : { bad: state.bad }),
        evidence: Object.values(total),
        at: now,
        seconds: seconds
          .filter(({ second }) => whole || second >= secondOf(state.acknowledgedUpTo))
          .map(({ evidence, second }) => ({ second, evidence: Object.values(evidence) })),
        whole,
      },
    };
  },

  /**
   * Applies a grant of the current coordinator. Its validity counts from the time at which this
   * node sent the report that the grant answers, so a delayed grant does not lapse later.
   */
  withGrant: (state: NodeMove, from: NodeId, grant: MoveShare): NodeMove => {
    if (from !== state.coordinator || grant.coordinator !== from) {
      return state;
    }
    if (grant.bad !== undefined) {
      return { ...state, bad: grant.bad, held: noShare };
    }
    const answeredReport = state.sentReports.find(
      ({ sequence }) => sequence === grant.reportSequence,
    );
    if (
      state.bad !== undefined ||
      answeredReport === undefined ||
      grant.sequence < state.grantSequence
    ) {
      return state;
    }
    const share = Math.min(1, Math.max(0, grant.share));
    const heard =
      share > 0 && grant.sequence >= state.heardSequence
        ? { heardSequence: grant.sequence, heardShare: share }
        : {};
    return {
      ...state,
      ...heard,
      // The coordinator grants no share before it has the report that answers its first grant.
      isReportUrgent: state.isReportUrgent || state.grantSequence === 0,
      grantSequence: grant.sequence,
      acknowledgedUpTo: answeredReport.coversUpTo,
      held: share === 0 ? noShare : { share, lapsesAt: answeredReport.at + grant.validMs },
    };
  },
};
