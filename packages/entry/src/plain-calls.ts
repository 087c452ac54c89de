import type { CallRequest } from '@zinniagrade/caller';
import type { Clock } from '@zinniagrade/clock';
import type { NodeControl } from '@zinniagrade/control';
import { errorResponses, Failure } from '@zinniagrade/errors';
import type { CallOutcome, Claim, IdempotencyKey, RecordDecision } from '@zinniagrade/idempotency';
import {
  RecordTable,
  beginCall,
  claimKeyOf,
  claimTtlMs,
  fingerprintOf,
  finishCall,
  dropExpired,
  lookUpCall,
  readIdempotencyKey,
} from '@zinniagrade/idempotency';
import type { CallAnswer, CallForward, Milliseconds, NodeId, Service } from '@zinniagrade/types';
import { Either, Left, Right } from 'purify-ts';
import type { ClaimStore } from './claim-key.js';
import { claimKey } from './claim-key.js';
import type { DispatchParts } from './dispatch-call.js';
import { dispatchCall } from './dispatch-call.js';

export interface PlainCallParts extends DispatchParts {
  readonly nodeId: NodeId;
  readonly nodeSecret: string;
  readonly control: () => NodeControl;
  readonly claims: ClaimStore;
  readonly clock: Clock;
  readonly records?: RecordTable;
}

/** Calls of plain services, with at most one run of a non-idempotent call. */
export interface PlainCalls {
  readonly call: (request: CallRequest) => Promise<Either<Failure, unknown>>;
  readonly answerForward: (forward: CallForward) => Promise<CallAnswer['outcome']>;
  /** Forgets expired keys; to be called now and then. */
  readonly dropExpired: () => void;
}

/** A non-idempotent call with the identity that its key gives it. */
interface KeyedCall {
  readonly request: CallRequest & { readonly idempotencyKey: string };
  readonly service: Service;
  readonly key: IdempotencyKey;
  readonly recordKey: string;
  readonly fingerprint: string;
}

type Outcome = Either<Failure, unknown>;

const unknown = (detail: string): Outcome => Left(Failure.create('outcome-unknown', detail));

const ownerGone = 'the process that may run this call did not answer';

const outcomeOf = (answer: Outcome): CallOutcome =>
  answer.caseOf<CallOutcome>({
    Left: (failure) => ({ ok: false, failure }),
    Right: (result) => ({ ok: true, result }),
  });

const answerOf = (outcome: CallOutcome): Outcome =>
  outcome.ok ? Right(outcome.result) : Left(outcome.failure);

const sizeOf = (answer: Outcome): number =>
  answer
    .map((result) => (JSON.stringify(result) as string | undefined)?.length ?? 0)
    .orDefault(256);

export const createPlainCalls = (parts: PlainCallParts): PlainCalls => {
  const { control, clock, nodeId, nodeSecret, claims } = parts;
  const records = parts.records ?? RecordTable.create();
  const running = new Map<string, Promise<Outcome>>();

  const findService = (request: CallRequest): Either<Failure, Service> => {
    const service = control().view().configuration.services[request.service];
    return service?.kind === 'plain'
      ? Right(service)
      : Left(Failure.create('not-found', `no plain service ${request.service}`));
  };

  const run = async (call: KeyedCall): Promise<Outcome> => {
    // A failure of this process after the dispatch leaves the outcome unknown.
    const answer = await dispatchCall(parts, {
      ...call.request,
      service: call.service,
      idempotent: false,
    }).catch((error: unknown) => unknown(String(error)));
    const provedNotRun = answer.caseOf({
      Left: ({ kind }) => errorResponses[kind].ran === 'not-run',
      Right: () => false,
    });
    finishCall(records, call.recordKey, outcomeOf(answer), provedNotRun, sizeOf(answer));
    running.delete(call.recordKey);
    return answer;
  };

  const follow = (call: KeyedCall, decision: RecordDecision): Promise<Outcome> => {
    switch (decision.kind) {
      case 'answer':
        return Promise.resolve(answerOf(decision.outcome));
      case 'refuse':
        return Promise.resolve(Left(decision.failure));
      case 'join':
        return (
          running.get(call.recordKey) ??
          Promise.resolve(unknown('the first call with the key is still running'))
        );
      case 'dispatch': {
        const promise = run(call);
        running.set(call.recordKey, promise);
        return promise;
      }
    }
  };

  /** Runs or repeats a call whose key names this process. */
  const ownCall = (call: KeyedCall, expiresAt: Milliseconds): Promise<Outcome> =>
    follow(call, beginCall(records, call.recordKey, call.fingerprint, expiresAt, clock.wallMs()));

  const forward = async (
    call: KeyedCall,
    node: NodeId,
    processIncarnation: number,
  ): Promise<Outcome> => {
    const { clientAccount, service, operation, idempotencyKey } = call.request;
    const outcome = await control().forwardCall(node, processIncarnation, {
      clientAccount,
      service,
      idempotencyKey,
      operation,
      arguments: call.request.arguments,
    });
    if (outcome === undefined) {
      return unknown(ownerGone);
    }
    return outcome.ok ? Right(outcome.result) : Left(Failure.create(outcome.error, outcome.detail));
  };

  const callWithTicket = (
    call: KeyedCall,
    { node, processIncarnation, expiresAt }: Extract<IdempotencyKey, { kind: 'ticket' }>['ticket'],
    mayForward: boolean,
  ): Promise<Outcome> => {
    if (node === nodeId && processIncarnation === control().processIncarnation) {
      return ownCall(call, expiresAt);
    }
    return mayForward && node !== nodeId
      ? forward(call, node, processIncarnation)
      : Promise.resolve(unknown(ownerGone));
  };

  const isOwn = (claim: Claim): boolean =>
    claim.node === nodeId && claim.processIncarnation === control().processIncarnation;

  const callWithChosenKey = async (call: KeyedCall): Promise<Outcome> => {
    const recorded = lookUpCall(records, call.recordKey, call.fingerprint);
    if (recorded !== undefined) {
      return follow(call, recorded);
    }
    const storeKey = claimKeyOf(call.request.clientAccount, call.key.key);
    const refusal = control().view().refusesNewWork;
    if (refusal !== undefined) {
      // Only a key that nobody has claimed proves that the call did not run elsewhere.
      const claim = await claims.read(storeKey);
      if (claim === undefined) {
        return Left(Failure.create(refusal, 'this node takes no new work; ask another'));
      }
      if (claim !== 'unavailable' && !isOwn(claim)) {
        return forward(call, claim.node, claim.processIncarnation);
      }
    }
    const result = await claimKey(claims, storeKey, {
      node: nodeId,
      processIncarnation: control().processIncarnation,
      claimedAt: clock.wallMs(),
    });
    switch (result.kind) {
      case 'held':
        return ownCall(call, result.claim.claimedAt + claimTtlMs);
      case 'forward':
        return forward(call, result.claim.node, result.claim.processIncarnation);
      case 'refuse':
        return Left(result.failure);
    }
  };

  /** A forwarded call is dispatched only when the claim certainly names this very process. */
  const answerForwardedClaim = async (call: KeyedCall): Promise<Outcome> => {
    const recorded = lookUpCall(records, call.recordKey, call.fingerprint);
    if (recorded !== undefined) {
      return follow(call, recorded);
    }
    const claim = await claims.read(claimKeyOf(call.request.clientAccount, call.key.key));
    return claim !== undefined && claim !== 'unavailable' && isOwn(claim)
      ? ownCall(call, claim.claimedAt + claimTtlMs)
      : unknown(ownerGone);
  };

  const createKeyedCall = (request: CallRequest, service: Service): Either<Failure, KeyedCall> => {
    const { idempotencyKey, clientAccount } = request;
    if (idempotencyKey === undefined) {
      return Left(Failure.create('idempotency-key-required', 'send a ticket or a key of your own'));
    }
    return readIdempotencyKey(nodeSecret, clientAccount, idempotencyKey).map((key) => ({
      request: { ...request, idempotencyKey },
      service,
      key,
      recordKey: JSON.stringify([clientAccount, idempotencyKey]),
      fingerprint: fingerprintOf(request),
    }));
  };

  const callKeyed = (call: KeyedCall): Promise<Outcome> =>
    call.key.kind === 'ticket'
      ? callWithTicket(call, call.key.ticket, true)
      : callWithChosenKey(call);

  return {
    call: async (request) => {
      const found = findService(request);
      if (found.isLeft()) {
        return found;
      }
      const service = found.unsafeCoerce();
      const operation = service.operations.find(({ name }) => name === request.operation);
      if (operation === undefined) {
        return Left(Failure.create('not-found', `${service.id} has no ${request.operation}`));
      }
      if (operation.idempotent) {
        return dispatchCall(parts, { ...request, service, idempotent: true });
      }
      return createKeyedCall(request, service)
        .map(callKeyed)
        .caseOf<Promise<Outcome>>({
          Left: (failure) => Promise.resolve(Left(failure)),
          Right: (running) => running,
        });
    },
    answerForward: async (message) => {
      const answer = await findService(message)
        .chain((service) => createKeyedCall(message, service))
        .map((call) =>
          call.key.kind === 'ticket'
            ? callWithTicket(call, call.key.ticket, false)
            : answerForwardedClaim(call),
        )
        .caseOf<Promise<Outcome>>({
          // This process cannot read the call, but another may have run it.
          Left: ({ detail }) => Promise.resolve(unknown(detail)),
          Right: (running) => running,
        });
      return answer.caseOf<CallAnswer['outcome']>({
        Left: ({ kind, detail }) => ({
          ok: false,
          error: kind,
          ran: errorResponses[kind].ran,
          detail,
        }),
        Right: (result) => ({ ok: true, result }),
      });
    },
    dropExpired: () => {
      dropExpired(records, clock.wallMs());
    },
  };
};
