import { Failure } from '@zinniagrade/errors';
import {
  expectedAnswerMs,
  hedgeDelayMs,
  isFull,
  isTruncatedStream,
  occupancy,
  recordSend,
  placeCall,
  recordAnswer,
  recordUnanswered,
  workTimeMs,
  type PlacementConstraints,
  type FleetMember,
} from '@zinniagrade/serving';
import { forwardResponse } from './responses.js';
import { BoundedBody } from './bounded-body.js';
import type { Call, ServingContext } from './call.js';
import { createLeavingFailure } from './leaving-failure.js';
import { outcomeOfResponse, type NodeResponse } from './node-relay.js';
import { CallRelay } from './pass-on-call.js';
import type { ResponseHead, Exchange, ExchangeFailure } from './upstream-client.js';

/** Time for which an upstream is not chosen after a connection to it has failed. */
const avoidAfterFailureMs = 500;
/** A request is sent to another upstream after up to this many refusals. */
const maxRefusals = 3;
/** Retry delay for callers: a full upstream has a free slot again after about this time. */
const refusalRetryAfterMs = 250;

/** One attempt: a call sent to one upstream. */
interface Attempt {
  readonly exchange: Exchange;
  readonly member: FleetMember;
}

/** When a request was sent, and the occupancy of its upstream before. */
interface SendTime {
  readonly sentAtMs: number;
  readonly occupancy: number;
}

/**
 * Serves a request whose response is buffered. Idempotent requests are retried after failures and
 * hedged while the first attempt is slow; all others are retried only if they cannot have run.
 */
export const serveCall = (context: ServingContext, call: Call): void => {
  const { clock, log, metrics } = context;
  const { route, service, request } = call;
  const idempotent = route.kind === 'idempotent';
  const excluded = new Set<string>();
  const attempts = new Set<Attempt>();
  const { budget, placements } = context.recordOf(service.name);
  /** Over all nodes that have the request. */
  const maxRuns = route.maxAttempts - (request.passedOn?.possibleRuns ?? 0);
  let possibleRuns = 0;
  let sends = 0;
  let refusals = 0;
  let hedged = false;
  /** Expected time to the answer at the first upstream, if it is known. */
  let expectedMs: number | undefined;
  let failedResponse: NodeResponse | undefined;

  /** A hedge would wait at an upstream without a free slot, and add to what makes others late. */
  const choice = (isHedge = false): PlacementConstraints => ({
    nowMs: clock.monotonicMs(),
    excludedUpstreams: excluded,
    withdrawnDataCentres: context.cluster.withdrawn,
    allows: (member) =>
      context.isWithinRateLimits(member) &&
      call.allowsVersionOf(member) &&
      !(isHedge && context.sharesSpeeds && isFull(member, context.peerUse, clock.monotonicMs())),
    peerUse: context.peerUse,
    unknownPlacements: context.unknownPlacements(service.name),
  });

  const logAttempt = (outcome: string, member: FleetMember, detail?: string | number): void => {
    log.decision('attempt ended', {
      request: request.id,
      upstream: member.upstream.id,
      outcome,
      detail,
      sends,
      afterMs: Math.round(clock.monotonicMs() - call.arrivedAtMs),
    });
  };

  const choose = (isHedge: boolean): FleetMember | undefined =>
    placeCall(context.cluster.fleet.ofService(service.name), choice(isHedge), context.random);

  const recordOutcome = (
    member: FleetMember,
    sent: SendTime,
    failed: boolean,
    isOfUpstream = true,
  ): void => {
    const nowMs = clock.monotonicMs();
    const latencyMs = workTimeMs(member, nowMs - sent.sentAtMs, sent.occupancy, nowMs);
    recordAnswer(member, { latencyMs, failed, isOfUpstream }, nowMs);
    context.rollouts.recordOutcome(member, route.name, failed);
  };

  const sendNodeResponse = (received: NodeResponse): void => {
    forwardResponse(context.unread, call.response, received.head, received.body);
    call.finish(outcomeOfResponse(received));
  };

  const endUnserved = (refusal?: Failure): void => {
    if (failedResponse !== undefined) {
      forwardResponse(context.unread, call.response, failedResponse.head, failedResponse.body);
      call.finish('upstream-error');
      return;
    }
    if (possibleRuns > 0) {
      call.fail(
        Failure.create(
          'outcome-unknown',
          'the request may have run, but no upstream returned a usable response',
        ),
      );
      return;
    }
    const nodeRefusal = relayed.refusal();
    if (nodeRefusal !== undefined) {
      sendNodeResponse(nodeRefusal);
      return;
    }
    call.fail(
      refusal ??
        Failure.create(
          refusals > 0 ? 'upstream-refused' : 'no-upstream',
          `no upstream of ${service.name} accepted the request`,
          context.statements.retryAfterMs(call, refusalRetryAfterMs),
        ),
    );
  };

  /** A second attempt that is not sent must not end the first one. */
  const endUnlessInFlight = (refusal?: Failure): void => {
    if (attempts.size === 0 && !relayed.isInFlight()) {
      endUnserved(refusal);
    }
  };

  /**
   * Retries if idempotency, the attempt limit and the retry budget allow it; otherwise ends the
   * call.
   */
  const retryOrEnd = (mayHaveRun: boolean): void => {
    if (call.isEnded() || attempts.size > 0 || relayed.isInFlight()) {
      return;
    }
    if (!context.canFinish(call)) {
      // This node has begun to shut down since the last attempt.
      endUnserved(createLeavingFailure());
      return;
    }
    // What has not run is no repeat at another node, so that it needs no retry budget.
    if (!mayHaveRun && possibleRuns === 0 && relayed.passOn(0)) {
      return;
    }
    if (mayHaveRun && !context.guard.allowsRepeat(call)) {
      endUnserved();
      return;
    }
    const allowed = mayHaveRun
      ? idempotent && possibleRuns < maxRuns
      : refusals <= maxRefusals && (idempotent || possibleRuns === 0);
    if (
      !allowed ||
      ((sends > 0 || mayHaveRun) && !budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount()))
    ) {
      endUnserved();
      return;
    }
    send();
  };

  const onResponse = (
    member: FleetMember,
    head: ResponseHead,
    body: Buffer,
    sent: SendTime,
  ): void => {
    if (head.closesConnection && head.status === 503) {
      member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
    }
    if (head.notExecuted) {
      refusals += 1;
      logAttempt('refused', member, head.status);
      retryOrEnd(false);
      return;
    }
    possibleRuns += 1;
    if (head.matchesRequest) {
      context.countBegun?.(call);
    }
    if (!head.matchesRequest || !head.sealed) {
      recordOutcome(member, sent, true);
      logAttempt(
        head.matchesRequest ? 'response without seal' : 'response to another request',
        member,
        head.status,
      );
      retryOrEnd(true);
      return;
    }
    if (route.kind === 'streaming' && head.status === 200 && isTruncatedStream(body)) {
      recordOutcome(member, sent, true);
      logAttempt('stream ended inside an event', member, head.status);
      context.guard.onEarlyLoss(call, member.upstream.id, sent.sentAtMs);
      retryOrEnd(true);
      return;
    }
    const failed = head.status >= 500;
    recordOutcome(member, sent, failed);
    if (failed && idempotent) {
      failedResponse = { head, body };
      logAttempt('upstream error', member, head.status);
      retryOrEnd(true);
      return;
    }
    logAttempt('answered', member, head.status);
    if (head.status < 300) {
      context.guard.onSound(call);
    }
    forwardResponse(context.unread, call.response, head, body);
    call.finish(failed ? 'upstream-error' : 'complete');
  };

  const onFailure = (member: FleetMember, failure: ExchangeFailure, sent: SendTime): void => {
    recordOutcome(member, sent, true, false);
    logAttempt(
      failure.possiblySent ? 'connection lost' : 'request not sent',
      member,
      failure.reason,
    );
    if (failure.isUnreached === true) {
      member.unreachedAtMs = clock.monotonicMs();
      relayed.recordUnreached();
    }
    if (!failure.possiblySent) {
      member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      refusals += 1;
    } else {
      possibleRuns += 1;
      context.guard.onEarlyLoss(call, member.upstream.id, sent.sentAtMs);
    }
    retryOrEnd(failure.possiblySent);
  };

  const send = (isHedge = false): void => {
    const refusal = context.guard.refusal(call);
    if (refusal !== undefined) {
      endUnlessInFlight(refusal);
      return;
    }
    if (relayed.passOn(possibleRuns + attempts.size)) {
      return;
    }
    const member = choose(isHedge);
    if (member === undefined) {
      endUnlessInFlight();
      return;
    }
    const { upstream } = member;
    const sentAtMs = clock.monotonicMs();
    const sent = { sentAtMs, occupancy: occupancy(member, context.peerUse, sentAtMs) };
    if (context.sharesSpeeds) {
      expectedMs ??= expectedAnswerMs(member, context.peerUse, sentAtMs);
    }
    excluded.add(upstream.id);
    placements.record(sentAtMs);
    sends += 1;
    if (sends === 1) {
      budget.recordFirstSend(sentAtMs);
    }
    const runKey = `${request.id}#${String(sends)}`;
    recordSend(member, sentAtMs);
    member.ownRuns.set(runKey, {
      requestId: request.id,
      sentAtMs,
      promptTokens: 0,
      expectedTokens: 0,
      hasBegun: false,
      isBackup: false,
    });
    context.onUseChanged();
    const body = BoundedBody.create(context.limits.maxResponseBytes, context.responseMemory);
    let responseHead: ResponseHead | undefined;
    let succeededAfterMs: number | undefined;
    const stopFollowing = context.rollouts.follow({
      member,
      route: route.name,
      timing: () =>
        succeededAfterMs === undefined
          ? { waitedMs: clock.monotonicMs() - sentAtMs }
          : { firstEventMs: succeededAfterMs },
    });
    const release = (): void => {
      stopFollowing();
      attempts.delete(attempt);
      member.ownRuns.delete(runKey);
      context.onUseChanged();
    };
    const onExchangeFailure = (failure: ExchangeFailure): void => {
      release();
      body.release();
      if (!call.isEnded()) {
        onFailure(member, failure, sent);
      }
    };
    const exchange = context.client.send(
      {
        upstream,
        request,
        body: call.body,
        remainingMs: call.deadline.atMs() - sentAtMs,
        ...(call.account === undefined ? {} : { account: call.account.name }),
      },
      {
        onHead: (head) => {
          responseHead = head;
          context.statements.onResponse(member, head, sentAtMs);
          if (head.load !== undefined) {
            context.serviceLoads?.onStated(member, head.load);
          }
        },
        onData: (bytes) => {
          if (!body.add(bytes)) {
            exchange.abort();
            // An upstream that sends so much does not crash on the request.
            context.guard.onSound(call);
            onExchangeFailure({
              possiblySent: true,
              reason: 'the response exceeds the size limit',
            });
          }
        },
        onEnd: () => {
          const latencyMs = clock.monotonicMs() - sentAtMs;
          if (
            responseHead !== undefined &&
            !responseHead.notExecuted &&
            responseHead.status < 500
          ) {
            succeededAfterMs = latencyMs;
          }
          release();
          const received = body.toBuffer();
          body.release();
          if (!call.isEnded() && responseHead !== undefined) {
            onResponse(member, responseHead, received, sent);
          }
        },
        onFailure: onExchangeFailure,
      },
    );
    const attempt: Attempt = { exchange, member };
    attempts.add(attempt);
    call.onEnded(() => {
      if (attempts.delete(attempt)) {
        const waitedMs = clock.monotonicMs() - sentAtMs;
        if (responseHead === undefined && waitedMs >= hedgeDelayMs(route.goalMs, expectedMs)) {
          const nowMs = clock.monotonicMs();
          recordUnanswered(member, workTimeMs(member, waitedMs, sent.occupancy, nowMs), nowMs);
        }
        stopFollowing();
        member.ownRuns.delete(runKey);
        context.onUseChanged();
        body.release();
        exchange.abort();
      }
    });
  };

  const hedge = (): void => {
    const maxPossibleRuns = possibleRuns + attempts.size;
    if (call.isEnded() || attempts.size === 0 || maxPossibleRuns >= maxRuns) {
      return;
    }
    // Another node hedges what it is passed on.
    if (relayed.isInFlight() || (hedged && !relayed.canPassOn())) {
      return;
    }
    if (!context.guard.allowsRepeat(call)) {
      return;
    }
    if (!relayed.canPassOn() && choose(true) === undefined) {
      metrics.countDecision('hedge-without-room');
      return;
    }
    if (budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())) {
      hedged = true;
      metrics.countDecision('hedge');
      send(true);
    }
  };

  const relayed = CallRelay.create(context, call, {
    onAnswered: (received) => {
      if (received.head.sealed || attempts.size === 0) {
        sendNodeResponse(received);
      } else {
        possibleRuns += 1;
        failedResponse = received;
      }
    },
    onNotRun: () => {
      retryOrEnd(false);
    },
    onLost: () => {
      possibleRuns += 1;
      retryOrEnd(true);
    },
    onNoneLeft: endUnlessInFlight,
  });

  send();
  if (idempotent && !call.isEnded()) {
    // Once more where it turns out later that the node is cut off, and then at another node.
    const cancelHedge = clock.every(hedgeDelayMs(route.goalMs, expectedMs), hedge);
    call.onEnded(cancelHedge);
  }
  call.deadline.onReached(() => {
    if (sends === 0 && !relayed.wasPassedOn()) {
      endUnserved();
    } else {
      call.fail(
        Failure.create(
          'upstream-timeout',
          `no response before the deadline; the route's timeout is ${String(call.deadline.timeoutMs())} ms`,
        ),
      );
    }
  });
};
