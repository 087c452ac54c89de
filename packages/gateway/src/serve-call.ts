import { Failure } from '@zinniagrade/errors';
import {
  recordColdSend,
  placeCall,
  recordAnswer,
  type PlacementConstraints,
  type FleetMember,
} from '@zinniagrade/serving';
import { sendWhole } from './answers.js';
import type { Call, ServingContext } from './call.js';
import type { AnswerHead, Exchange, ExchangeFailure } from './upstream-client.js';

/** An upstream whose connections fail is left out of the choice for this time. */
const avoidAfterFailureMs = 500;
/** An idempotent request is sent a second time after this share of its latency objective. */
const hedgeGoalShare = 0.55;
/** Upstreams that may refuse a request before the gateway refuses it itself. */
const maxRefusals = 3;
/** A full upstream has a free place again after about this time. */
const refusalRetryAfterMs = 250;

interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** One send of a call to one upstream. */
interface Attempt {
  readonly exchange: Exchange;
  readonly member: FleetMember;
}

/**
 * Serves a request with a whole answer. Idempotent requests are sent again after failures, and a
 * second time beside a slow first send; all others are sent on only while nothing can have run.
 */
export const serveCall = (context: ServingContext, call: Call): void => {
  const { clock, log, metrics } = context;
  const { route, service, request } = call;
  const idempotent = route.kind === 'idempotent';
  const excluded = new Set<string>();
  const attempts = new Set<Attempt>();
  const { budget } = context.recordOf(service.name);
  let runs = 0;
  let sends = 0;
  let refusals = 0;
  let failedAnswer: WholeAnswer | undefined;

  const choice = (): PlacementConstraints => ({
    nowMs: clock.monotonicMs(),
    excludedUpstreams: excluded,
    withdrawnDataCentres: context.view.withdrawn,
    allows: (member) => context.allows(member) && call.permits(member),
    peerUse: context.peerUse,
  });

  const note = (outcome: string, member: FleetMember, detail?: string | number): void => {
    log.decision('attempt ended', {
      request: request.id,
      upstream: member.upstream.id,
      outcome,
      detail,
      sends,
      afterMs: Math.round(clock.monotonicMs() - call.arrivedAtMs),
    });
  };

  const record = (member: FleetMember, latencyMs: number, failed: boolean): void => {
    recordAnswer(member, latencyMs, failed);
    context.rollouts.observe({ member, route: route.name, failed, firstEventMs: latencyMs });
  };

  const giveUp = (): void => {
    if (failedAnswer !== undefined) {
      sendWhole(call.response, failedAnswer.head, failedAnswer.body);
      call.finish('upstream-error');
      return;
    }
    if (runs > 0) {
      call.fail(Failure.create('outcome-unknown', 'no upstream gave a usable answer'));
      return;
    }
    call.fail(
      Failure.create(
        refusals > 0 ? 'upstream-refused' : 'no-upstream',
        `no upstream of ${service.name} took the request`,
        refusalRetryAfterMs,
      ),
    );
  };

  /** Sends again if the rules and the budget allow it, otherwise ends the call. */
  const goOn = (mayHaveRun: boolean): void => {
    if (call.isOver() || attempts.size > 0) {
      return;
    }
    const allowed = mayHaveRun
      ? idempotent && runs < route.maxAttempts
      : refusals <= maxRefusals && (idempotent || runs === 0);
    if (!allowed || (sends > 0 && !budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount()))) {
      giveUp();
      return;
    }
    send();
  };

  const accept = (member: FleetMember, head: AnswerHead, body: Buffer, latencyMs: number): void => {
    if (head.load !== undefined) {
      member.serviceLoad = head.load;
      member.serviceLoadAtMs = clock.monotonicMs();
    }
    if (head.closing && head.status === 503) {
      member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
    }
    if (head.notRun) {
      refusals += 1;
      note('refused', member, head.status);
      goOn(false);
      return;
    }
    runs += 1;
    if (!head.matches || !head.sealed) {
      record(member, latencyMs, true);
      note(head.matches ? 'unsealed answer' : 'answer to another request', member, head.status);
      goOn(true);
      return;
    }
    const failed = head.status >= 500;
    record(member, latencyMs, failed);
    if (failed && idempotent) {
      failedAnswer = { head, body };
      note('upstream error', member, head.status);
      goOn(true);
      return;
    }
    note('answered', member, head.status);
    sendWhole(call.response, head, body);
    call.finish(failed ? 'upstream-error' : 'complete');
  };

  const onFailure = (member: FleetMember, failure: ExchangeFailure): void => {
    record(member, 0, true);
    note(failure.sent ? 'connection lost' : 'not reached', member, failure.reason);
    if (!failure.sent) {
      member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      refusals += 1;
    } else {
      runs += 1;
    }
    goOn(failure.sent);
  };

  const send = (): void => {
    const member = placeCall(context.view.fleet.ofService(service.name), choice(), context.random);
    if (member === undefined) {
      giveUp();
      return;
    }
    const { upstream } = member;
    const sentAtMs = clock.monotonicMs();
    excluded.add(upstream.id);
    sends += 1;
    if (sends === 1) {
      budget.recordFirstSend(sentAtMs);
    }
    const runKey = `${request.id}#${String(sends)}`;
    recordColdSend(member, sentAtMs);
    member.ownRuns.set(runKey, {
      requestId: request.id,
      sentAtMs,
      promptTokens: 0,
      expectedTokens: 0,
      hasBegun: false,
      isBackup: false,
    });
    context.useChanged();
    const chunks: Buffer[] = [];
    let answerHead: AnswerHead | undefined;
    const over = (): void => {
      attempts.delete(attempt);
      member.ownRuns.delete(runKey);
      context.useChanged();
    };
    const exchange = context.client.send(
      {
        upstream,
        request,
        body: call.body,
        remainingMs: call.endsAtMs - sentAtMs,
        ...(call.account === undefined ? {} : { account: call.account.name }),
      },
      {
        onHead: (head) => {
          answerHead = head;
        },
        onData: (bytes) => {
          chunks.push(bytes);
        },
        onEnd: () => {
          over();
          if (!call.isOver() && answerHead !== undefined) {
            accept(member, answerHead, Buffer.concat(chunks), clock.monotonicMs() - sentAtMs);
          }
        },
        onFailure: (failure) => {
          over();
          if (!call.isOver()) {
            onFailure(member, failure);
          }
        },
      },
    );
    const attempt: Attempt = { exchange, member };
    attempts.add(attempt);
    call.onOver(() => {
      if (attempts.delete(attempt)) {
        member.ownRuns.delete(runKey);
        context.useChanged();
        exchange.abort();
      }
    });
  };

  const hedge = (): void => {
    const runsAtMost = runs + attempts.size;
    if (call.isOver() || attempts.size === 0 || runsAtMost >= route.maxAttempts) {
      return;
    }
    if (budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())) {
      metrics.count('hedge');
      send();
    }
  };

  send();
  if (idempotent && !call.isOver()) {
    const cancelHedge = clock.after(route.goalMs * hedgeGoalShare, hedge);
    call.onOver(cancelHedge);
  }
  const cancelTimeout = clock.after(call.endsAtMs - clock.monotonicMs(), () => {
    if (sends === 0) {
      giveUp();
    } else {
      call.fail(
        Failure.create('upstream-timeout', `no answer within ${String(route.timeoutMs)} ms`),
      );
    }
  });
  call.onOver(cancelTimeout);
};
