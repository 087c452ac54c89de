import { Failure } from '@zinniagrade/errors';
import {
  noRoomAhead,
  requestPriority,
  type Admission,
  type RoomAhead,
  type WaitingAttempt,
} from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { createLeavingFailure } from './leaving-failure.js';
import {
  latenessTolerance,
  maxRetryAfterShare,
  maxWaitGoalShare,
  noEngineRetryAfterMs,
  retryFirstEventGoals,
  retryMaxWaitGoalShare,
  retryReserveShare,
  retryTimeoutShare,
  type StreamAdmission,
} from './stream-admission.js';
import type { StreamPlacement } from './stream-placement.js';

/** A decision without the room of others: what it would refuse is refused, what it would start waits. */
const keepIfRefused = (admission: Admission): Admission =>
  admission.kind === 'placed' ? { kind: 'no-memory', lackingTokens: 0 } : admission;

/** Admits streams in the order of the queue of their service; see `GenerationQueues`. */
export const QueuedAdmission = {
  create: (context: ServingContext, call: Call, placement: StreamPlacement): StreamAdmission => {
    const { clock, cluster } = context;
    const { route, service, arrivedAtMs } = call;
    const { departures, returnTimes, statedWaits } = context.recordOf(service.name);
    const callerTimeoutMs = call.callerDeadlineAtMs - arrivedAtMs;
    const isRetry =
      callerTimeoutMs < retryTimeoutShare * statedWaits.recordLongest(route.name, callerTimeoutMs);

    const maxWaitMs = route.goalMs * (isRetry ? retryMaxWaitGoalShare : maxWaitGoalShare);

    const waitUntilMs = arrivedAtMs + maxWaitMs;
    const tokens = placement.expectedTokens(0);
    const priority = requestPriority(route, call.account);
    const accountName = call.account?.name ?? '';
    let isUseRecorded = false;

    /** A retry is late already, so it gets a longer limit to its first event. */
    const decideAdmission = (excluded: ReadonlySet<string>, ahead: RoomAhead): Admission => {
      const nowMs = clock.monotonicMs();
      const engines = cluster.fleet.ofService(service.name).filter((member) => !member.leaving);
      const reserve = departures.reserveShare(nowMs, engines.length);
      return placement.admit(new Set([...excluded, ...ahead.savedEngines]), {
        reserveShare: isRetry ? reserve * retryReserveShare : reserve,
        firstEventWithinMs: isRetry
          ? retryFirstEventGoals * route.goalMs
          : latenessTolerance * (arrivedAtMs + route.goalMs - nowMs),
        tokensAhead: ahead.tokens,
        urgentRoom: ahead.urgentRoom,
      });
    };

    /** A request that only those before it keep from an engine waits, as it might without them. */
    const decideInTurn = (excluded: ReadonlySet<string>, ahead: RoomAhead): Admission => {
      const admission = decideAdmission(excluded, ahead);
      const isKept = ahead.savedEngines.size > 0;
      return isKept && (admission.kind === 'late' || admission.kind === 'no-engine')
        ? keepIfRefused(decideAdmission(excluded, noRoomAhead))
        : admission;
    };

    const retryAfterMs = (): number => {
      const nowMs = clock.monotonicMs();
      const maxRetryAfterMs = (call.callerDeadlineAtMs - nowMs) * maxRetryAfterShare;
      return (
        context.demand.promiseReturn(service.name, {
          priority,
          tokens,
          maxWaitMs: maxRetryAfterMs,
        }) ?? returnTimes.reserveWaitMs(tokens, nowMs, maxRetryAfterMs)
      );
    };

    /** Why the request can't be served, whether it waits or not. */
    const refusalOf = (): { readonly failure: Failure; readonly reason: string } | undefined => {
      const refusal = context.guard.refusal(call);
      if (refusal !== undefined) {
        return { failure: refusal, reason: refusal.kind };
      }
      if (!call.response.headersSent && !context.canFinish(call)) {
        // The request has waited for memory while this node began to shut down.
        return { failure: createLeavingFailure(), reason: 'leaving' };
      }
      return undefined;
    };

    const failureOf = (admission: Exclude<Admission, { readonly kind: 'placed' }>): Failure => {
      switch (admission.kind) {
        case 'no-engine':
          return Failure.create(
            'no-upstream',
            `service ${service.name} has no available engine`,
            context.statements.retryAfterMs(call, noEngineRetryAfterMs),
          );
        case 'late':
          // Waiting here would use up as much of the objective as it saves in the engine's queue.
          return Failure.create(
            'overloaded',
            `service ${service.name} would send the first event too late`,
            Math.max(admission.lateByMs, retryAfterMs()),
          );
        case 'no-memory':
          return Failure.create(
            'overloaded',
            `engines of ${service.name} have no free memory`,
            retryAfterMs(),
          );
      }
    };

    /** Whether the missing memory is expected to become free within the time that is left to wait. */
    const canWait = (lackingTokens: number): boolean => {
      const leftMs = waitUntilMs - clock.monotonicMs();
      const expectedMs = context.demand.expectedWaitMs(service.name, priority, lackingTokens) ?? 0;
      return leftMs > 0 && expectedMs <= leftMs;
    };

    const recordUse = (): void => {
      if (isUseRecorded) {
        return;
      }
      isUseRecorded = true;
      context.queues.recordUse(service.name, accountName, tokens);
      call.onEnded(() => {
        context.queues.recordUse(service.name, accountName, -tokens);
      });
    };

    const admit: StreamAdmission['admit'] = (excluded, onPlaced, onRefused) => {
      const attempt = (ahead: RoomAhead): WaitingAttempt => {
        if (call.isEnded()) {
          return { kind: 'left', started: false };
        }
        const refusal = refusalOf();
        if (refusal !== undefined) {
          onRefused(refusal.failure, refusal.reason);
          return { kind: 'left', started: false };
        }
        const admission = decideInTurn(excluded, ahead);
        if (admission.kind === 'placed') {
          recordUse();
          onPlaced(admission.member);
          return { kind: 'left', started: true };
        }
        if (admission.kind === 'no-memory' && canWait(admission.lackingTokens)) {
          const { roomiestEngine } = admission;
          return roomiestEngine === undefined
            ? { kind: 'waits' }
            : { kind: 'waits', savedEngine: roomiestEngine };
        }
        const isEarly = admission.kind === 'no-memory' && clock.monotonicMs() < waitUntilMs;
        onRefused(failureOf(admission), isEarly ? 'no-memory-in-time' : admission.kind);
        return { kind: 'left', started: false };
      };
      if (call.isEnded()) {
        return;
      }
      context.queues.add(service.name, {
        requestId: call.request.id,
        request: {
          priority,
          isReturn: isRetry,
          account: accountName,
          tokens,
          deadlineAtMs: call.callerDeadlineAtMs,
        },
        attempt,
        giveUp: () => {
          onRefused(failureOf({ kind: 'no-memory', lackingTokens: 0 }), 'no-memory');
        },
        waitUntilMs,
        hasPriority:
          cluster.routes()?.enginePriority(service.name, route, call.account) !== undefined,
        maxWaitMs,
        onEnded: call.onEnded,
      });
    };
    return { admit };
  },
};
