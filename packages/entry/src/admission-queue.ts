import type { AdmissionEvent, AdmittedRequest, PendingRequest } from '@zinniagrade/admission';
import { Admission, stepAdmission } from '@zinniagrade/admission';
import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { peakOf } from '@zinniagrade/length-estimates';
import type { Milliseconds, NodeView, UpstreamId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { Placer, Placement, PlacementRequest } from './placement.js';
import type { Work } from './work-meter.js';

/** Interval at which placement of waiting requests is retried. */
const tickIntervalMs: Milliseconds = 50;
/** Smoothing factor of the moving average of the time to the first answer. */
const firstAnswerSmoothing = 0.05;

/**
 * Finds an upstream for a request, now or once there is room. Calls `answer` once, unless the
 * request is cancelled first with the returned function.
 */
export type AdmissionQueue = (
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
  answer: (placement: Either<Failure, Placement>) => void,
) => () => void;

interface WaitingRequest {
  readonly request: PlacementRequest;
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly answer: (placement: Either<Failure, Placement>) => void;
}

export interface AdmissionDependencies {
  readonly place: Placer;
  readonly view: () => NodeView;
  readonly clock: Clock;
}

const poolOf = ({ service }: PlacementRequest): string =>
  service.kind === 'generation' ? `model ${service.model ?? service.id}` : `service ${service.id}`;

/** Queues requests in front of placement, with fair shares for the client accounts. */
export const createAdmissionQueue = ({
  place,
  view,
  clock,
}: AdmissionDependencies): AdmissionQueue => {
  let state = Admission.create();
  let isTickScheduled = false;
  let admissionCount = 0;
  const waiting = new Map<string, WaitingRequest>();
  /**
   * Admitted requests. `stepAdmission` copies its table of them, which took a third of the
   * processor time at 1,120 streams, so each step gets only the entry that it needs.
   */
  const admitted = new Map<string, AdmittedRequest>();
  const expectedFirstAnswerMs = new Map<string, Milliseconds>();

  const trackWork = (pool: string, work: Work, id: string): Work => {
    const startedAt = clock.monotonicMs();
    const tracked: { -readonly [Key in keyof Work]: Work[Key] } = {
      recordTokens: (nowMs, tokens) => {
        const previousMs = expectedFirstAnswerMs.get(pool) ?? 0;
        expectedFirstAnswerMs.set(
          pool,
          previousMs + firstAnswerSmoothing * (nowMs - startedAt - previousMs),
        );
        tracked.recordTokens = work.recordTokens;
        work.recordTokens(nowMs, tokens);
      },
      finish: (outcome) => {
        work.finish(outcome);
        applyEvent({ kind: 'end', id });
      },
    };
    return tracked;
  };

  const tryToPlace = (
    pending: PendingRequest,
    permanentFailures: Map<string, Failure>,
  ): Placement | undefined => {
    const entry = waiting.get(pending.id);
    if (entry === undefined || permanentFailures.has(pending.id)) {
      return undefined;
    }
    return place(entry.request, entry.excluded)
      .ifLeft((failure) => {
        if (failure.kind !== 'overloaded') {
          permanentFailures.set(pending.id, failure);
        }
      })
      .toMaybe()
      .extract();
  };

  const answerRequest = (id: string, answer: Either<Failure, Placement>): void => {
    const found = waiting.get(id);
    waiting.delete(id);
    found?.answer(answer);
  };

  const applyEvent = (event: AdmissionEvent): void => {
    /** Failures that waiting cannot resolve. */
    const permanentFailures = new Map<string, Failure>();
    const endedRequest = event.kind === 'end' ? admitted.get(event.id) : undefined;
    const inputState =
      event.kind === 'end' && endedRequest !== undefined
        ? { ...state, admitted: { [event.id]: endedRequest } }
        : state;
    const step = stepAdmission<Placement>(inputState, event, clock.monotonicMs(), (pending) =>
      tryToPlace(pending, permanentFailures),
    );
    if (event.kind === 'end') {
      admitted.delete(event.id);
    }
    for (const [id, entry] of Object.entries(step.state.admitted)) {
      admitted.set(id, entry);
    }
    state = { ...step.state, admitted: {} };
    for (const action of step.actions) {
      if (action.kind === 'dispatch') {
        const { id, placement } = action;
        const request = waiting.get(id)?.request;
        const pool = request === undefined ? '' : poolOf(request);
        answerRequest(id, Right({ ...placement, work: trackWork(pool, placement.work, id) }));
      } else {
        const failure = permanentFailures.get(action.id);
        const detail = 'the first answer would come after its deadline';
        answerRequest(
          action.id,
          Left(failure ?? Failure.create(action.error, detail, action.retryAfterMs)),
        );
      }
    }
    for (const [id, failure] of permanentFailures) {
      if (waiting.has(id)) {
        applyEvent({ kind: 'cancel', id });
        answerRequest(id, Left(failure));
      }
    }
    scheduleTick();
  };

  const scheduleTick = (): void => {
    if (isTickScheduled || waiting.size === 0) {
      return;
    }
    isTickScheduled = true;
    clock.after(tickIntervalMs, () => {
      isTickScheduled = false;
      applyEvent({ kind: 'tick' });
    });
  };

  return (request, excluded, answer) => {
    admissionCount += 1;
    const id = `${request.id}/${admissionCount}`;
    const { service, clientAccount, arrivedAt } = request;
    const pool = poolOf(request);
    waiting.set(id, { request, excluded, answer });
    applyEvent({
      kind: 'arrive',
      request: {
        id,
        clientAccount,
        weight: view().configuration.clientAccounts[clientAccount]?.weight ?? 1,
        class: service.class,
        pool,
        cost: service.kind === 'generation' ? Math.max(1, peakOf(request.memory)) : 1,
        arrivedAt,
        deadlineAt: arrivedAt + service.firstAnswerDeadlineMs,
        firstAnswerMs: Math.min(
          expectedFirstAnswerMs.get(pool) ?? 0,
          service.firstAnswerDeadlineMs / 2,
        ),
      },
    });
    return () => {
      if (waiting.delete(id)) {
        applyEvent({ kind: 'cancel', id });
      }
    };
  };
};

/** Admission as a promise; it cannot be cancelled. */
export const admitAsync = (
  admit: AdmissionQueue,
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
): Promise<Either<Failure, Placement>> =>
  new Promise((resolve) => {
    admit(request, excluded, resolve);
  });
