import { Failure } from '@zinniagrade/errors';
import { noRoomAhead, type Admission, type FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { createLeavingFailure } from './leaving-failure.js';
import type { StreamPlacement } from './stream-placement.js';

/** Admits a stream, delays it for a short time, or refuses it. */
export interface StreamAdmission {
  /** Calls one of the callbacks once, or none if the call ends first. */
  readonly admit: (
    excluded: ReadonlySet<string>,
    onPlaced: (member: FleetMember) => void,
    onRefused: (failure: Failure, reason: string) => void,
  ) => void;
}

/** Shares of the latency objective for which a request, or a retry, waits for free memory. */
export const maxWaitGoalShare = 0.5;
export const retryMaxWaitGoalShare = 1;
/**
 * Predictions are rough, so the predicted time to the first event may exceed what is left of the
 * objective by this factor.
 */
export const latenessTolerance = 1.2;
/**
 * Retries are late already; they may wait in an engine's queue for this many latency objectives.
 */
export const retryFirstEventGoals = 2;
const memoryCheckIntervalMs = 40;
/** New engines register within about this time after the last one has left. */
export const noEngineRetryAfterMs = 600;
/** Callers honour a retry delay of at most this share of their remaining time. */
export const maxRetryAfterShare = 1 / 3;
/**
 * A request whose timeout is below this share of the route's longest stated one counts as a retry.
 */
export const retryTimeoutShare = 0.97;
/**
 * Retries have to leave only this share of the memory reserve free, as they get no third attempt.
 */
export const retryReserveShare = 0.5;

/** Lets each stream without room look again by itself; for deployments without queues. */
export const StreamAdmission = {
  create: (context: ServingContext, call: Call, placement: StreamPlacement): StreamAdmission => {
    const { clock, cluster } = context;
    const { route, service, arrivedAtMs } = call;
    const { departures, returnTimes, statedWaits } = context.recordOf(service.name);
    const callerTimeoutMs = call.callerDeadlineAtMs - arrivedAtMs;
    const isRetry =
      callerTimeoutMs < retryTimeoutShare * statedWaits.recordLongest(route.name, callerTimeoutMs);

    const maxWaitMs = route.goalMs * (isRetry ? retryMaxWaitGoalShare : maxWaitGoalShare);

    /** A retry is late already, so it gets a longer limit to its first event. */
    const decideAdmission = (excluded: ReadonlySet<string>): Admission => {
      const nowMs = clock.monotonicMs();
      const engines = cluster.fleet.ofService(service.name).filter((member) => !member.leaving);
      const reserve = departures.reserveShare(nowMs, engines.length);
      return placement.admit(excluded, {
        reserveShare: isRetry ? reserve * retryReserveShare : reserve,
        firstEventWithinMs: isRetry
          ? retryFirstEventGoals * route.goalMs
          : latenessTolerance * (arrivedAtMs + route.goalMs - nowMs),
        tokensAhead: 0,
        urgentRoom: noRoomAhead.urgentRoom,
      });
    };

    const retryAfterMs = (): number => {
      const nowMs = clock.monotonicMs();
      const maxRetryAfterMs = (call.callerDeadlineAtMs - nowMs) * maxRetryAfterShare;
      return returnTimes.reserveWaitMs(placement.expectedTokens(0), nowMs, maxRetryAfterMs);
    };

    const admit: StreamAdmission['admit'] = (excluded, onPlaced, onRefused) => {
      if (call.isEnded()) {
        return;
      }
      const refusal = context.guard.refusal(call);
      if (refusal !== undefined) {
        onRefused(refusal, refusal.kind);
        return;
      }
      if (!call.response.headersSent && !context.canFinish(call)) {
        // The request has waited for memory while this node began to shut down.
        onRefused(createLeavingFailure(), 'leaving');
        return;
      }
      const admission = decideAdmission(excluded);
      switch (admission.kind) {
        case 'placed':
          onPlaced(admission.member);
          return;
        case 'no-engine':
          onRefused(
            Failure.create(
              'no-upstream',
              `service ${service.name} has no available engine`,
              context.statements.retryAfterMs(call, noEngineRetryAfterMs),
            ),
            admission.kind,
          );
          return;
        case 'late':
          // Waiting here would use up as much of the objective as it saves in the engine's queue.
          onRefused(
            Failure.create(
              'overloaded',
              `service ${service.name} would send the first event too late`,
              Math.max(admission.lateByMs, retryAfterMs()),
            ),
            admission.kind,
          );
          return;
        case 'no-memory':
          if (clock.monotonicMs() - arrivedAtMs < maxWaitMs) {
            call.onEnded(
              clock.after(memoryCheckIntervalMs, () => {
                admit(excluded, onPlaced, onRefused);
              }),
            );
            return;
          }
          onRefused(
            Failure.create(
              'overloaded',
              `engines of ${service.name} have no free memory`,
              retryAfterMs(),
            ),
            admission.kind,
          );
      }
    };
    return { admit };
  },
};
