import { isSlowWait, latencyEvidenceOf, type EvidenceTable } from '@zinniagrade/moves';
import type { FleetMember } from '@zinniagrade/serving';
import type { VersionEvidence } from '@zinniagrade/types';

/** What is known so far of the latency of one upstream request. */
export interface RequestTiming {
  /** Time to the first event, or to the complete response of a plain request. */
  readonly firstEventMs?: number;
  /** Time since the request was sent, if its first event is awaited. */
  readonly waitedMs?: number;
  /** Mean time between output tokens. */
  readonly betweenTokensMs?: number;
  /** Events from which that mean is taken. */
  readonly events?: number;
}

/** A request that was sent to an upstream. */
export interface SentRequest {
  readonly member: FleetMember;
  readonly route: string;
  /** Whether this goes on with a stream that began at another upstream. */
  readonly isContinuation?: boolean;
  readonly timing: () => RequestTiming;
}

/** What the latency of a request is compared with while it is open. */
export interface KnownLatency {
  /** Evidence of all nodes. */
  readonly evidence: EvidenceTable;
  readonly oldVersion: string;
}

/** The mean of fewer events depends on whether prompts were read between them. */
const minOpenEvents = 16;

/** Time to the first token, or the wait for it if that is slow already. */
const firstTokenMsOf = (
  { firstEventMs, waitedMs }: RequestTiming,
  route: string,
  { evidence, oldVersion }: KnownLatency,
): number | undefined => {
  if (firstEventMs !== undefined || waitedMs === undefined) {
    return firstEventMs;
  }
  return isSlowWait(evidence, oldVersion, route, waitedMs) ? waitedMs : undefined;
};

/**
 * Latency of a request. While it is open, a wait that is not slow yet says nothing, nor do its first
 * tokens. Those after a move never do: many streams move at once, which slows any version.
 */
export const latencyOf = (
  { member, route, isContinuation = false, timing }: SentRequest,
  isOpen: boolean,
  known: KnownLatency,
): VersionEvidence => {
  const requestTiming = timing();
  const { betweenTokensMs, events = 0 } = requestTiming;
  const knowsTokens =
    betweenTokensMs !== undefined && !isContinuation && (!isOpen || events >= minOpenEvents);
  const firstTokenMs = firstTokenMsOf(requestTiming, route, known);
  const { service, version } = member.upstream;
  return latencyEvidenceOf({
    version,
    service,
    route,
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    ...(knowsTokens ? { betweenTokensMs } : {}),
  });
};
