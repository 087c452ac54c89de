import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { NodeAddress, RequestFailure } from './client-request.js';
import { sendRequest, connectionFailure, readJson } from './client-request.js';
import type { ClientContext } from './caller-client.js';

/** Limit on the requests that are sent for one call. */
const maxAttempts = 8;
const callTimeoutMs = 35_000;

export interface ClientCall {
  readonly operation: string;
  readonly arguments: unknown;
  /** Whether the operation may run more than once. */
  readonly idempotent?: boolean;
  /** A key chosen by the caller. Without one, a ticket that a node issued is used. */
  readonly idempotencyKey?: string;
}

/** Refusals by the owner of a ticket that prove that no earlier attempt with it ran either. */
const ownerProvesNotRun: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'overloaded',
  'no-upstream',
  'leaving',
  'isolated',
  'upstream-unreachable',
  'upstream-refused',
]);

const sendCall = async (
  { agent, headers }: ClientContext,
  address: NodeAddress,
  service: ServiceId,
  { operation, arguments: callArguments }: ClientCall,
  key: string | undefined,
): Promise<Either<RequestFailure, unknown>> => {
  const response = await sendRequest(agent, address, {
    method: 'POST',
    path: `/v1/services/${encodeURIComponent(service)}/calls`,
    headers: { ...headers, ...(key === undefined ? {} : { 'idempotency-key': key }) },
    body: { operation, arguments: callArguments },
    timeoutMs: callTimeoutMs,
  });
  if (response.kind !== 'ok') {
    return Left(response.failure);
  }
  try {
    const document = (await readJson(response.body)) as { readonly result?: unknown };
    return Right(document.result);
  } catch (error) {
    return Left({ ...connectionFailure(error), ran: 'unknown', cause: 'cut' });
  }
};

const waitBeforeRetry = (
  context: ClientContext,
  failure: Failure,
  attempt: number,
): Promise<void> => context.wait(Math.min(2_000, failure.retryAfterMs ?? 50 * attempt));

/** Tries the nodes in turn, because the call may run more than once. */
const callIdempotent = async (
  context: ClientContext,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> => {
  let lastFailure = Failure.create('no-upstream', 'no request was sent to any node');
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const addresses = await context.addresses.get(service);
    if (addresses.isLeft()) {
      return addresses;
    }
    const list = addresses.unsafeCoerce();
    const address = list[attempt % list.length];
    if (address === undefined) {
      break;
    }
    const response = await sendCall(context, address, service, call, undefined);
    if (response.isRight()) {
      return response;
    }
    const { failure, ran } = response.swap().unsafeCoerce();
    lastFailure = failure;
    if (ran === 'not-run' && !errorResponses[failure.kind].retriable) {
      break;
    }
    if (ran === 'not-run') {
      await waitBeforeRetry(context, failure, attempt);
    } else {
      context.addresses.invalidate(service, address);
    }
  }
  return Left(lastFailure);
};

interface KeyedAttempts {
  readonly key: string;
  readonly isTicket: boolean;
  readonly addresses: readonly NodeAddress[];
  /** Number of requests that have been sent with the key. */
  sentCount: number;
}

const acquireKey = async (
  context: ClientContext,
  service: ServiceId,
  chosenKey: string | undefined,
): Promise<Either<Failure, KeyedAttempts>> =>
  chosenKey === undefined
    ? (await context.addresses.takeTicket(service)).map(({ ticket, addresses }) => ({
        key: ticket,
        isTicket: true,
        addresses,
        sentCount: 0,
      }))
    : (await context.addresses.get(service)).map((addresses) => ({
        key: chosenKey,
        isTicket: false,
        addresses,
        sentCount: 0,
      }));

/**
 * Makes a call that must not run twice. When a connection breaks, the call is retried at another
 * node with the same key. A new ticket is used only if no earlier ticket has left this process, or
 * if its owner, the node that it names, reported that the call did not run.
 */
const callNonIdempotent = async (
  context: ClientContext,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> => {
  let attempts: KeyedAttempts | undefined;
  let mayHaveRun = false;
  let lastFailure = Failure.create('no-upstream', 'no request was sent to any node');
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    if (attempts === undefined) {
      const acquired = await acquireKey(context, service, call.idempotencyKey);
      if (acquired.isLeft()) {
        return Left(acquired.swap().unsafeCoerce());
      }
      attempts = acquired.unsafeCoerce();
    }
    const { key, isTicket, addresses }: KeyedAttempts = attempts;
    const address = addresses[attempts.sentCount % addresses.length];
    if (address === undefined) {
      break;
    }
    attempts.sentCount += 1;
    const response = await sendCall(context, address, service, call, key);
    if (response.isRight()) {
      return response;
    }
    const { failure, ran, cause } = response.swap().unsafeCoerce();
    lastFailure = failure;
    if (cause === 'never-sent') {
      context.addresses.invalidate(service, address);
      attempts = mayHaveRun ? attempts : undefined;
    } else if (cause === 'cut') {
      context.addresses.invalidate(service, address);
      mayHaveRun = true;
    } else if (ran === 'unknown') {
      // The node answered for the owner of the key, so a retry would get the same response.
      return Left(failure);
    } else {
      mayHaveRun = mayHaveRun && !(isTicket && ownerProvesNotRun.has(failure.kind));
      if (!errorResponses[failure.kind].retriable) {
        break;
      }
      if (failure.kind === 'leaving' || failure.kind === 'isolated') {
        context.addresses.invalidate(service, address);
      }
      attempts = mayHaveRun ? attempts : undefined;
      await waitBeforeRetry(context, failure, attempt);
    }
  }
  return Left(
    mayHaveRun
      ? Failure.create(
          'outcome-unknown',
          `no response proves whether the call ran; last error: ${lastFailure.detail}`,
        )
      : lastFailure,
  );
};

export const callFromClient = (
  context: ClientContext,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> =>
  call.idempotent === true
    ? callIdempotent(context, service, call)
    : callNonIdempotent(context, service, call);
