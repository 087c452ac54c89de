import type { Clock } from '@zinniagrade/clock';
import {
  expectedUse,
  judgeSpeed,
  typicalMsPerPromptToken,
  type FleetMember,
  type PaceEvidence,
  type PaceVerdict,
  type UpstreamUse,
} from '@zinniagrade/serving';
import type { ClusterState } from './cluster-state.js';
import type { ResponseHead, UpstreamClient, UpstreamRequest } from './upstream-client.js';

export interface PaceObserver {
  /** Requests in flight at an upstream over all nodes. */
  readonly inFlight: (member: FleetMember) => number;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly isRising: (member: FleetMember) => boolean;
  readonly onEvidence: (member: FleetMember, evidence: PaceEvidence) => void;
  /** A connection to an upstream could not be opened, or was lost. */
  readonly onLost: (member: FleetMember) => void;
  /** An upstream that was warm states that it is cold. */
  readonly onCold: (member: FleetMember) => void;
}

const misdirected = 421;
const firstErrorStatus = 500;
/** Usual time until a stream goes on from a copy that its engine holds. */
const usualContinuationMs = 250;
/** Comments, which an engine may send before it begins to work, have no id. */
const eventIdField = 'id:';

/** Usual latency of the calls of a service: the mean of the upstreams that aren't rising. */
const usualLatencyMs = (
  members: readonly FleetMember[],
  isRising: PaceObserver['isRising'],
): number => {
  const measured = members.filter((member) => member.latencyMs > 0 && !isRising(member));
  let sum = 0;
  for (const { latencyMs } of measured) {
    sum += latencyMs;
  }
  return measured.length === 0 ? 0 : sum / measured.length;
};

/** Judges each exchange with an upstream by its speed and outcome. */
export const observePace = (
  client: UpstreamClient,
  clock: Clock,
  cluster: ClusterState,
  observer: PaceObserver,
): UpstreamClient => {
  const now = clock.monotonicMs;

  /** Speed of an answer, or of the first event of a generation, by the prompt tokens ahead of it. */
  const judge = (
    member: FleetMember,
    request: UpstreamRequest,
    tookMs: number,
    tokensAhead: number,
  ): PaceVerdict | undefined => {
    const others = cluster.fleet.ofService(member.upstream.service);
    if (request.copy !== undefined) {
      return judgeSpeed(tookMs, usualContinuationMs);
    }
    if (request.request.prompt === undefined) {
      return judgeSpeed(tookMs, usualLatencyMs(others, observer.isRising));
    }
    const usual = others.filter((other) => !observer.isRising(other));
    return judgeSpeed(tookMs, tokensAhead * typicalMsPerPromptToken(usual));
  };

  /** Why a response shows that the upstream doesn't bear its load; undefined if it shows nothing. */
  const judgeHead = (head: ResponseHead, request: UpstreamRequest): PaceVerdict | undefined => {
    const isFailure = head.status >= firstErrorStatus || head.notExecuted;
    // An engine refuses to continue from a copy that it doesn't have.
    const isOther = head.status === misdirected || (head.notExecuted && request.copy !== undefined);
    return isFailure && !isOther ? 'failed' : undefined;
  };

  return {
    ...client,
    send: (request, events) => {
      const member = cluster.fleet.members.get(request.upstream.id);
      if (member === undefined) {
        return client.send(request, events);
      }
      const sentAtMs = now();
      const inFlightAtSend = observer.inFlight(member);
      const tokensAhead = expectedUse(member, observer.peerUse).promptTokens;
      const isGeneration = request.request.prompt !== undefined;
      let head: ResponseHead | undefined;
      let isJudged = false;

      const record = (verdict: PaceVerdict | undefined): void => {
        if (verdict !== undefined && (!isJudged || verdict === 'failed') && !member.leaving) {
          isJudged = true;
          // Others that have sent at the same time are known by now. This one may have ended.
          const inFlight = Math.max(inFlightAtSend, observer.inFlight(member));
          observer.onEvidence(member, { verdict, sentAtMs, inFlight });
        }
      };

      return client.send(request, {
        onHead: (received) => {
          head = received;
          const wasCold = member.coldUntilMs > now();
          events.onHead(received);
          if (!wasCold && member.coldUntilMs > now()) {
            observer.onCold(member);
          }
        },
        onData: (bytes) => {
          events.onData(bytes);
          const isFirstEvent =
            isGeneration && !isJudged && head?.status === 200 && bytes.includes(eventIdField);
          if (isFirstEvent) {
            record(judge(member, request, now() - sentAtMs, tokensAhead));
            isJudged = true;
          }
        },
        onEnd: () => {
          events.onEnd();
          if (head === undefined) {
            return;
          }
          const failed = judgeHead(head, request);
          if (failed !== undefined) {
            record(failed);
          } else if (!isGeneration && head.matchesRequest && head.sealed) {
            record(judge(member, request, now() - sentAtMs, tokensAhead));
          }
        },
        onFailure: (failure) => {
          events.onFailure(failure);
          record('failed');
          if (!member.leaving) {
            observer.onLost(member);
          }
        },
      });
    },
  };
};
