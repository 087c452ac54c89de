import type { AdmissionEvent, AdmittedRequest, PendingRequest } from '@zinniagrade/admission';
import { Admission, stepAdmission } from '@zinniagrade/admission';
import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { peakOf } from '@zinniagrade/length-estimates';
import type { Milliseconds, NodeView, UpstreamId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { Place, Placement, PlacementRequest } from './placement.js';
import type { Work } from './work-meter.js';

/** Interval at which waiting requests are tried again. */
const tickMs: Milliseconds = 50;
/** Weight of the newest time in the expected time to the first answer. */
const firstAnswerGain = 0.05;

/**
 * Finds an upstream for a request, now or when there is room. `answer` is called once, unless the
 * request is taken back before by the function that is returned.
 */
export type Admit = (
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
  answer: (placement: Either<Failure, Placement>) => void,
) => () => void;

interface Waiting {
  readonly request: PlacementRequest;
  readonly excluded: ReadonlySet<UpstreamId>;
  readonly answer: (placement: Either<Failure, Placement>) => void;
}

export interface AdmissionParts {
  readonly place: Place;
  readonly view: () => NodeView;
  readonly clock: Clock;
}

const poolOf = ({ service }: PlacementRequest): string =>
  service.kind === 'generation' ? `model ${service.model ?? service.id}` : `service ${service.id}`;

/** Runs admission: the queue in front of the placement, with fair shares of the client accounts. */
export const createAdmit = ({ place, view, clock }: AdmissionParts): Admit => {
  let state = Admission.create();
  let ticking = false;
  let attempts = 0;
  const waiting = new Map<string, Waiting>();
  /**
   * What has been admitted. Admission copies its table with each step, which took a third of the
   * processor time at 1,120 streams, so each step is given only the entry that it needs.
   */
  const admitted = new Map<string, AdmittedRequest>();
  const firstAnswerMs = new Map<string, Milliseconds>();

  const measured = (pool: string, work: Work, id: string): Work => {
    const startedAt = clock.monotonicMs();
    const wrapped: { -readonly [Key in keyof Work]: Work[Key] } = {
      token: (nowMs, tokens) => {
        const before = firstAnswerMs.get(pool) ?? 0;
        firstAnswerMs.set(pool, before + firstAnswerGain * (nowMs - startedAt - before));
        wrapped.token = work.token;
        work.token(nowMs, tokens);
      },
      finish: (end) => {
        work.finish(end);
        run({ kind: 'end', id });
      },
    };
    return wrapped;
  };

  const tryToPlace = (
    pending: PendingRequest,
    hard: Map<string, Failure>,
  ): Placement | undefined => {
    const found = waiting.get(pending.id);
    if (found === undefined || hard.has(pending.id)) {
      return undefined;
    }
    return place(found.request, found.excluded)
      .ifLeft((failure) => {
        if (failure.kind !== 'overloaded') {
          hard.set(pending.id, failure);
        }
      })
      .toMaybe()
      .extract();
  };

  const answerTo = (id: string, answer: Either<Failure, Placement>): void => {
    const found = waiting.get(id);
    waiting.delete(id);
    found?.answer(answer);
  };

  const run = (event: AdmissionEvent): void => {
    /** Failures that waiting cannot cure. */
    const hard = new Map<string, Failure>();
    const ending = event.kind === 'end' ? admitted.get(event.id) : undefined;
    const given =
      event.kind === 'end' && ending !== undefined
        ? { ...state, admitted: { [event.id]: ending } }
        : state;
    const step = stepAdmission<Placement>(given, event, clock.monotonicMs(), (pending) =>
      tryToPlace(pending, hard),
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
        answerTo(id, Right({ ...placement, work: measured(pool, placement.work, id) }));
      } else {
        const failure = hard.get(action.id);
        const detail = 'the first answer would come after its deadline';
        answerTo(
          action.id,
          Left(failure ?? Failure.create(action.error, detail, action.retryAfterMs)),
        );
      }
    }
    for (const [id, failure] of hard) {
      if (waiting.has(id)) {
        run({ kind: 'cancel', id });
        answerTo(id, Left(failure));
      }
    }
    tickSoon();
  };

  const tickSoon = (): void => {
    if (ticking || waiting.size === 0) {
      return;
    }
    ticking = true;
    clock.after(tickMs, () => {
      ticking = false;
      run({ kind: 'tick' });
    });
  };

  return (request, excluded, answer) => {
    attempts += 1;
    const id = `${request.id}/${attempts}`;
    const { service, clientAccount, arrivedAt } = request;
    const pool = poolOf(request);
    waiting.set(id, { request, excluded, answer });
    run({
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
        firstAnswerMs: Math.min(firstAnswerMs.get(pool) ?? 0, service.firstAnswerDeadlineMs / 2),
      },
    });
    return () => {
      if (waiting.delete(id)) {
        run({ kind: 'cancel', id });
      }
    };
  };
};

/** The same as a promise. */
export const admitAsync = (
  admit: Admit,
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
): Promise<Either<Failure, Placement>> =>
  new Promise((resolve) => {
    admit(request, excluded, resolve);
  });
