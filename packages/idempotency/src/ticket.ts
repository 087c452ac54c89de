import { createHmac, timingSafeEqual } from 'node:crypto';
import { Failure } from '@zinniagrade/errors';
import type { ClientAccountId, Incarnation, Milliseconds, NodeId } from '@zinniagrade/types';
import { Either, Left, Right } from 'purify-ts';

/** Life of a ticket from its issue. */
export const ticketTtlMs = 600_000;
/** Life that a ticket must have left, by the node's own clock, for its call to be dispatched. */
export const minDispatchTtlMs = 1_000;

/** The one process that may dispatch the call which carries this ticket. Wall clock. */
export interface Ticket {
  readonly clientAccount: ClientAccountId;
  readonly node: NodeId;
  readonly processIncarnation: Incarnation;
  readonly expiresAt: Milliseconds;
  readonly nonce: string;
}

/** The value of an `Idempotency-Key`: a ticket of this system, or a key that the caller chose. */
export type IdempotencyKey =
  | { readonly kind: 'ticket'; readonly key: string; readonly ticket: Ticket }
  | { readonly kind: 'chosen'; readonly key: string };

/** Keys with this prefix are tickets or nothing: a caller's own key cannot start with it. */
const ticketPrefix = 'zt1.';
const maxKeyLength = 512;
const chosenKeyPattern = /^[A-Za-z0-9._~:+=@-]{1,200}$/;

const tagOf = (secret: string, payload: string): Buffer =>
  createHmac('sha256', secret).update(`ticket\n${payload}`).digest();

const ticketOf = (payload: string): Ticket | undefined => {
  const fields = Either.encase(
    () => JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')) as unknown,
  ).orDefault(undefined);
  if (!Array.isArray(fields)) {
    return undefined;
  }
  const [clientAccount, node, processIncarnation, expiresAt, nonce] = fields as unknown[];
  return typeof clientAccount === 'string' &&
    typeof node === 'string' &&
    typeof processIncarnation === 'number' &&
    typeof expiresAt === 'number' &&
    typeof nonce === 'string'
    ? { clientAccount, node, processIncarnation, expiresAt, nonce }
    : undefined;
};

const invalid = (detail: string): Either<Failure, never> =>
  Left(Failure.create('invalid-request', `Idempotency-Key: ${detail}`));

/** Signs a ticket with the secret that the nodes share. */
export const signTicket = (secret: string, ticket: Ticket): string => {
  const payload = Buffer.from(
    JSON.stringify([
      ticket.clientAccount,
      ticket.node,
      ticket.processIncarnation,
      ticket.expiresAt,
      ticket.nonce,
    ]),
  ).toString('base64url');
  return `${ticketPrefix}${payload}.${tagOf(secret, payload).toString('base64url')}`;
};

/** Reads an `Idempotency-Key`. A forged ticket is refused; it never counts as a chosen key. */
export const readIdempotencyKey = (
  secret: string,
  clientAccount: ClientAccountId,
  key: string,
): Either<Failure, IdempotencyKey> => {
  if (!key.startsWith(ticketPrefix)) {
    return chosenKeyPattern.test(key)
      ? Right({ kind: 'chosen', key })
      : invalid('a key of your own has 1 to 200 of the characters A-Z a-z 0-9 . _ ~ : + = @ -');
  }
  const [payload, tagText, ...rest] =
    key.length > maxKeyLength ? [] : key.slice(ticketPrefix.length).split('.');
  if (payload === undefined || tagText === undefined || rest.length > 0) {
    return invalid('the ticket is not of the form that this system issues');
  }
  const expected = tagOf(secret, payload);
  const found = Buffer.from(tagText, 'base64url');
  if (found.length !== expected.length || !timingSafeEqual(found, expected)) {
    return invalid('the signature of the ticket does not fit');
  }
  const ticket = ticketOf(payload);
  if (ticket?.clientAccount !== clientAccount) {
    return invalid('the ticket was issued to another account');
  }
  return Right({ kind: 'ticket', key, ticket });
};
