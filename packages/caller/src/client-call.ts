import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { CallerAddress, CallerFailure } from './client-request.js';
import { askNode, cutFailure, readJson } from './client-request.js';
import type { ClientParts } from './caller-client.js';

/** Requests that are sent for one call. */
const maxAttempts = 8;
const callTimeoutMs = 35_000;

export interface ClientCall {
  readonly operation: string;
  readonly arguments: unknown;
  /** True for an operation that may run more than once. */
  readonly idempotent?: boolean;
  /** A key of the caller's own; without one a ticket is used. */
  readonly idempotencyKey?: string;
}

/** Refusals of a key's owner that settle earlier attempts with the key too. */
const settledByOwner: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'overloaded',
  'no-upstream',
  'leaving',
  'isolated',
  'upstream-unreachable',
  'upstream-refused',
]);

const send = async (
  { agent, headers }: ClientParts,
  address: CallerAddress,
  service: ServiceId,
  { operation, arguments: callArguments }: ClientCall,
  key: string | undefined,
): Promise<Either<CallerFailure, unknown>> => {
  const answer = await askNode(agent, address, {
    method: 'POST',
    path: `/v1/services/${encodeURIComponent(service)}/calls`,
    headers: { ...headers, ...(key === undefined ? {} : { 'idempotency-key': key }) },
    body: { operation, arguments: callArguments },
    timeoutMs: callTimeoutMs,
  });
  if (answer.kind !== 'ok') {
    return Left(answer.failure);
  }
  try {
    const document = (await readJson(answer.body)) as { readonly result?: unknown };
    return Right(document.result);
  } catch (error) {
    return Left({ ...cutFailure(error), ran: 'unknown', cause: 'cut' });
  }
};

const waitFor = (parts: ClientParts, failure: Failure, attempt: number): Promise<void> =>
  parts.wait(Math.min(2_000, failure.retryAfterMs ?? 50 * attempt));

/** A call that may be repeated: it is sent to one node after another. */
const callIdempotent = async (
  parts: ClientParts,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> => {
  let last = Failure.create('no-upstream', 'no node was asked');
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const addresses = await parts.addresses.get(service);
    if (addresses.isLeft()) {
      return addresses;
    }
    const list = addresses.unsafeCoerce();
    const address = list[attempt % list.length];
    if (address === undefined) {
      break;
    }
    const answer = await send(parts, address, service, call, undefined);
    if (answer.isRight()) {
      return answer;
    }
    const { failure, ran } = answer.swap().unsafeCoerce();
    last = failure;
    if (ran === 'not-run' && !errorResponses[failure.kind].retriable) {
      break;
    }
    if (ran === 'not-run') {
      await waitFor(parts, failure, attempt);
    } else {
      parts.addresses.forget(service, address);
    }
  }
  return Left(last);
};

interface KeyedAttempts {
  readonly key: string;
  readonly isTicket: boolean;
  readonly addresses: readonly CallerAddress[];
  /** Requests that were sent with the key. */
  sent: number;
}

const takeKey = async (
  parts: ClientParts,
  service: ServiceId,
  chosen: string | undefined,
): Promise<Either<Failure, KeyedAttempts>> =>
  chosen === undefined
    ? (await parts.addresses.takeTicket(service)).map(({ ticket, addresses }) => ({
        key: ticket,
        isTicket: true,
        addresses,
        sent: 0,
      }))
    : (await parts.addresses.get(service)).map((addresses) => ({
        key: chosen,
        isTicket: false,
        addresses,
        sent: 0,
      }));

/**
 * A call that must not run twice. After a cut it is repeated at another node with the same key. A
 * new ticket is taken only while no earlier ticket has left this process, or when its owner said
 * that the call did not run.
 */
const callOnce = async (
  parts: ClientParts,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> => {
  let attempts: KeyedAttempts | undefined;
  let mayHaveRun = false;
  let last = Failure.create('no-upstream', 'no node was asked');
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    if (attempts === undefined) {
      const taken = await takeKey(parts, service, call.idempotencyKey);
      if (taken.isLeft()) {
        return Left(taken.swap().unsafeCoerce());
      }
      attempts = taken.unsafeCoerce();
    }
    const { key, isTicket, addresses }: KeyedAttempts = attempts;
    const address = addresses[attempts.sent % addresses.length];
    if (address === undefined) {
      break;
    }
    attempts.sent += 1;
    const answer = await send(parts, address, service, call, key);
    if (answer.isRight()) {
      return answer;
    }
    const { failure, ran, cause } = answer.swap().unsafeCoerce();
    last = failure;
    if (cause === 'never-sent') {
      parts.addresses.forget(service, address);
      attempts = mayHaveRun ? attempts : undefined;
    } else if (cause === 'cut') {
      parts.addresses.forget(service, address);
      mayHaveRun = true;
    } else if (ran === 'unknown') {
      // The node has spoken for the key's owner; a repeat would hear the same.
      return Left(failure);
    } else {
      mayHaveRun = mayHaveRun && !(isTicket && settledByOwner.has(failure.kind));
      if (!errorResponses[failure.kind].retriable) {
        break;
      }
      if (failure.kind === 'leaving' || failure.kind === 'isolated') {
        parts.addresses.forget(service, address);
      }
      attempts = mayHaveRun ? attempts : undefined;
      await waitFor(parts, failure, attempt);
    }
  }
  return Left(
    mayHaveRun
      ? Failure.create('outcome-unknown', `no answer says whether the call ran: ${last.detail}`)
      : last,
  );
};

export const callFromClient = (
  parts: ClientParts,
  service: ServiceId,
  call: ClientCall,
): Promise<Either<Failure, unknown>> =>
  call.idempotent === true ? callIdempotent(parts, service, call) : callOnce(parts, service, call);
