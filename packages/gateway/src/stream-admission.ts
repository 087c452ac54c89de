import { Failure } from '@zinniagrade/errors';
import type { Admission, FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import type { StreamPlacement } from './stream-placement.js';

/** Lets a stream begin, holds it back for a short time, or refuses it. */
export interface StreamAdmission {
  /** Ends with one call of either function, or with none if the call is over before. */
  readonly request: (
    without: ReadonlySet<string>,
    onPlaced: (member: FleetMember) => void,
    onRefused: (failure: Failure, reason: string) => void,
  ) => void;
}

/** Shares of the latency objective for which a request waits for memory to become free. */
const longestWaitShare = 0.5;
const returningWaitShare = 1;
/** Predictions are rough: only what is expected this many times too late is refused. */
const latenessTolerance = 1.2;
/** Callers that come back are late already; they wait in an engine's queue this many objectives. */
const returningObjectives = 2;
const roomCheckMs = 40;
/** Engines register again within about this time after the last one has left. */
const noEngineRetryAfterMs = 600;
/** Callers honour a wait of at most this share of the time that they have left. */
const longestReturnShare = 1 / 3;
/** A caller with less than this share of the time that others state has asked before. */
const returningShare = 0.97;
/** Callers that come back may use this share of the reserve: they aren't served a third time. */
const returningReserveShare = 0.5;

export const StreamAdmission = {
  create: (context: ServingContext, call: Call, placement: StreamPlacement): StreamAdmission => {
    const { clock, view } = context;
    const { route, service, arrivedAtMs } = call;
    const { departures, returnTimes, statedWaits } = context.recordOf(service.name);
    const statedMs = call.callerEndsAtMs - arrivedAtMs;
    const returning = statedMs < returningShare * statedWaits.recordLongest(route.name, statedMs);

    const longestWaitMs = route.goalMs * (returning ? returningWaitShare : longestWaitShare);

    /** A caller that comes back is late already, so it isn't refused for being late. */
    const decide = (without: ReadonlySet<string>): Admission => {
      const nowMs = clock.monotonicMs();
      const engines = view.fleet.ofService(service.name).filter((member) => !member.leaving);
      const reserve = departures.reserveShare(nowMs, engines.length);
      return placement.admit(without, {
        reserveShare: returning ? reserve * returningReserveShare : reserve,
        firstEventWithinMs: returning
          ? returningObjectives * route.goalMs
          : latenessTolerance * (arrivedAtMs + route.goalMs - nowMs),
      });
    };

    const returnAfterMs = (): number => {
      const nowMs = clock.monotonicMs();
      const longestMs = (call.callerEndsAtMs - nowMs) * longestReturnShare;
      return returnTimes.reserveWaitMs(placement.expectedTokens(0), nowMs, longestMs);
    };

    const request: StreamAdmission['request'] = (without, onPlaced, onRefused) => {
      if (call.isOver()) {
        return;
      }
      const admission = decide(without);
      switch (admission.kind) {
        case 'placed':
          onPlaced(admission.member);
          return;
        case 'no-engine':
          onRefused(
            Failure.create('no-upstream', `no engine of ${service.name}`, noEngineRetryAfterMs),
            admission.kind,
          );
          return;
        case 'late':
          // Waiting here would take as much of the objective as it takes off the queue.
          onRefused(
            Failure.create(
              'overloaded',
              `the first event of ${service.name} would be late`,
              Math.max(admission.lateByMs, returnAfterMs()),
            ),
            admission.kind,
          );
          return;
        case 'no-memory':
          if (clock.monotonicMs() - arrivedAtMs < longestWaitMs) {
            call.onOver(
              clock.after(roomCheckMs, () => {
                request(without, onPlaced, onRefused);
              }),
            );
            return;
          }
          onRefused(
            Failure.create('overloaded', `engines of ${service.name} are full`, returnAfterMs()),
            admission.kind,
          );
      }
    };
    return { request };
  },
};
