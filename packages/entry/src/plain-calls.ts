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
  callFingerprintOf,
  finishCall,
  dropExpired,
  lookUpCall,
  readIdempotencyKey,
} from '@zinniagrade/idempotency';
import type { CallAnswer, CallForward, Milliseconds, NodeId, Service } from '@zinniagrade/types';
import { Either, Left, Right } from 'purify-ts';
import type { ClaimStore } from './claim-key.js';
import { claimKey } from './claim-key.js';
import type { DispatchDependencies } from './dispatch-call.js';
import { dispatchCall } from './dispatch-call.js';

export interface PlainCallDependencies extends DispatchDependencies {
  readonly nodeId: NodeId;
  readonly nodeSecret: string;
  readonly control: () => NodeControl;
  readonly claims: ClaimStore;
  readonly clock: Clock;
  readonly records?: RecordTable;
}

/** Calls of plain services. A non-idempotent call runs at most once. */
export interface PlainCalls {
  readonly call: (request: CallRequest) => Promise<Either<Failure, unknown>>;
  readonly answerForward: (forward: CallForward) => Promise<CallAnswer['outcome']>;
  /** Removes expired idempotency keys; to be called periodically. */
  readonly dropExpiredKeys: () => void;
}

/** A non-idempotent call with its parsed idempotency key. */
interface KeyedCall {
  readonly request: CallRequest & { readonly idempotencyKey: string };
  readonly service: Service;
  readonly key: IdempotencyKey;
  readonly recordKey: string;
  readonly fingerprint: string;
}

type CallResult = Either<Failure, unknown>;

const unknownOutcome = (detail: string): CallResult =>
  Left(Failure.create('outcome-unknown', detail));

const ownerUnreachableDetail =
  'the process that holds the idempotency key is gone or did not answer';

const outcomeFromResult = (answer: CallResult): CallOutcome =>
  answer.caseOf<CallOutcome>({
    Left: (failure) => ({ ok: false, failure }),
    Right: (result) => ({ ok: true, result }),
  });

const resultFromOutcome = (outcome: CallOutcome): CallResult =>
  outcome.ok ? Right(outcome.result) : Left(outcome.failure);

const estimateSize = (answer: CallResult): number =>
  answer
    .map((result) => (JSON.stringify(result) as string | undefined)?.length ?? 0)
    .orDefault(256);

export const createPlainCalls = (dependencies: PlainCallDependencies): PlainCalls => {
  const { control, clock, nodeId, nodeSecret, claims } = dependencies;
  const records = dependencies.records ?? RecordTable.create();
  const runningCalls = new Map<string, Promise<CallResult>>();

  const findPlainService = (request: CallRequest): Either<Failure, Service> => {
    const service = control().view().configuration.services[request.service];
    return service?.kind === 'plain'
      ? Right(service)
      : Left(Failure.create('not-found', `no plain service "${request.service}" is configured`));
  };

  const runCall = async (call: KeyedCall): Promise<CallResult> => {
    // An exception may come after the dispatch, so the outcome is unknown.
    const answer = await dispatchCall(dependencies, {
      ...call.request,
      service: call.service,
      idempotent: false,
    }).catch((error: unknown) => unknownOutcome(String(error)));
    const provenNotRun = answer.caseOf({
      Left: ({ kind }) => errorResponses[kind].ran === 'not-run',
      Right: () => false,
    });
    finishCall(
      records,
      call.recordKey,
      outcomeFromResult(answer),
      provenNotRun,
      estimateSize(answer),
    );
    runningCalls.delete(call.recordKey);
    return answer;
  };

  const applyDecision = (call: KeyedCall, decision: RecordDecision): Promise<CallResult> => {
    switch (decision.kind) {
      case 'answer':
        return Promise.resolve(resultFromOutcome(decision.outcome));
      case 'refuse':
        return Promise.resolve(Left(decision.failure));
      case 'join':
        return (
          runningCalls.get(call.recordKey) ??
          Promise.resolve(
            unknownOutcome('the first call with this idempotency key is still running'),
          )
        );
      case 'dispatch': {
        const promise = runCall(call);
        runningCalls.set(call.recordKey, promise);
        return promise;
      }
    }
  };

  /** Runs a call whose key belongs to this process, or returns its recorded outcome. */
  const callAsOwner = (call: KeyedCall, expiresAt: Milliseconds): Promise<CallResult> =>
    applyDecision(
      call,
      beginCall(records, call.recordKey, call.fingerprint, expiresAt, clock.wallMs()),
    );

  const forwardToOwner = async (
    call: KeyedCall,
    node: NodeId,
    processIncarnation: number,
  ): Promise<CallResult> => {
    const { clientAccount, service, operation, idempotencyKey } = call.request;
    const outcome = await control().forwardCall(node, processIncarnation, {
      clientAccount,
      service,
      idempotencyKey,
      operation,
      arguments: call.request.arguments,
    });
    if (outcome === undefined) {
      return unknownOutcome(ownerUnreachableDetail);
    }
    return outcome.ok ? Right(outcome.result) : Left(Failure.create(outcome.error, outcome.detail));
  };

  const callWithTicket = (
    call: KeyedCall,
    { node, processIncarnation, expiresAt }: Extract<IdempotencyKey, { kind: 'ticket' }>['ticket'],
    mayForward: boolean,
  ): Promise<CallResult> => {
    if (node === nodeId && processIncarnation === control().processIncarnation) {
      return callAsOwner(call, expiresAt);
    }
    return mayForward && node !== nodeId
      ? forwardToOwner(call, node, processIncarnation)
      : Promise.resolve(unknownOutcome(ownerUnreachableDetail));
  };

  const isHeldByThisProcess = (claim: Claim): boolean =>
    claim.node === nodeId && claim.processIncarnation === control().processIncarnation;

  const callWithChosenKey = async (call: KeyedCall): Promise<CallResult> => {
    const recorded = lookUpCall(records, call.recordKey, call.fingerprint);
    if (recorded !== undefined) {
      return applyDecision(call, recorded);
    }
    const storeKey = claimKeyOf(call.request.clientAccount, call.key.key);
    const refusal = control().view().refusesNewWork;
    if (refusal !== undefined) {
      // Only an unclaimed key proves that the call did not run at another node.
      const claim = await claims.read(storeKey);
      if (claim === undefined) {
        return Left(Failure.create(refusal, 'this node takes no new work; try another node'));
      }
      if (claim !== 'unavailable' && !isHeldByThisProcess(claim)) {
        return forwardToOwner(call, claim.node, claim.processIncarnation);
      }
    }
    const result = await claimKey(claims, storeKey, {
      node: nodeId,
      processIncarnation: control().processIncarnation,
      claimedAt: clock.wallMs(),
    });
    switch (result.kind) {
      case 'held':
        return callAsOwner(call, result.claim.claimedAt + claimTtlMs);
      case 'forward':
        return forwardToOwner(call, result.claim.node, result.claim.processIncarnation);
      case 'refuse':
        return Left(result.failure);
    }
  };

  /** Dispatches a forwarded call only if the stored claim was read and names this process. */
  const answerForwardedChosenKey = async (call: KeyedCall): Promise<CallResult> => {
    const recorded = lookUpCall(records, call.recordKey, call.fingerprint);
    if (recorded !== undefined) {
      return applyDecision(call, recorded);
    }
    const claim = await claims.read(claimKeyOf(call.request.clientAccount, call.key.key));
    return claim !== undefined && claim !== 'unavailable' && isHeldByThisProcess(claim)
      ? callAsOwner(call, claim.claimedAt + claimTtlMs)
      : unknownOutcome(ownerUnreachableDetail);
  };

  const createKeyedCall = (request: CallRequest, service: Service): Either<Failure, KeyedCall> => {
    const { idempotencyKey, clientAccount } = request;
    if (idempotencyKey === undefined) {
      return Left(
        Failure.create(
          'idempotency-key-required',
          'a non-idempotent call needs a ticket or a key chosen by the caller',
        ),
      );
    }
    return readIdempotencyKey(nodeSecret, clientAccount, idempotencyKey).map((key) => ({
      request: { ...request, idempotencyKey },
      service,
      key,
      recordKey: JSON.stringify([clientAccount, idempotencyKey]),
      fingerprint: callFingerprintOf(request),
    }));
  };

  const callKeyed = (call: KeyedCall): Promise<CallResult> =>
    call.key.kind === 'ticket'
      ? callWithTicket(call, call.key.ticket, true)
      : callWithChosenKey(call);

  return {
    call: async (request) => {
      const found = findPlainService(request);
      if (found.isLeft()) {
        return found;
      }
      const service = found.unsafeCoerce();
      const operation = service.operations.find(({ name }) => name === request.operation);
      if (operation === undefined) {
        return Left(
          Failure.create(
            'not-found',
            `service "${service.id}" has no operation "${request.operation}"`,
          ),
        );
      }
      if (operation.idempotent) {
        return dispatchCall(dependencies, { ...request, service, idempotent: true });
      }
      return createKeyedCall(request, service)
        .map(callKeyed)
        .caseOf<Promise<CallResult>>({
          Left: (failure) => Promise.resolve(Left(failure)),
          Right: (running) => running,
        });
    },
    answerForward: async (message) => {
      const answer = await findPlainService(message)
        .chain((service) => createKeyedCall(message, service))
        .map((call) =>
          call.key.kind === 'ticket'
            ? callWithTicket(call, call.key.ticket, false)
            : answerForwardedChosenKey(call),
        )
        .caseOf<Promise<CallResult>>({
          // This process cannot interpret the call, but another may have run it.
          Left: ({ detail }) => Promise.resolve(unknownOutcome(detail)),
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
    dropExpiredKeys: () => {
      dropExpired(records, clock.wallMs());
    },
  };
};
