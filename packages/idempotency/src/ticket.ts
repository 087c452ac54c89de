import { createHmac, timingSafeEqual } from 'node:crypto';
import { Failure } from '@zinniagrade/errors';
import type { ClientAccountId, Incarnation, Milliseconds, NodeId } from '@zinniagrade/types';
import { Either, Left, Right } from 'purify-ts';

/** Time from issue to expiry of a ticket. */
export const ticketTtlMs = 600_000;
/** Minimum remaining lifetime of a key, by the clock of the node, for its call to be dispatched. */
export const minDispatchTtlMs = 1_000;

/** Names the only process that may dispatch the call with this ticket. Times are wall clock. */
export interface Ticket {
  readonly clientAccount: ClientAccountId;
  readonly node: NodeId;
  readonly processIncarnation: Incarnation;
  readonly expiresAt: Milliseconds;
  readonly nonce: string;
}

/** The value of an `Idempotency-Key`: a ticket issued by a node, or a key chosen by the caller. */
export type IdempotencyKey =
  | { readonly kind: 'ticket'; readonly key: string; readonly ticket: Ticket }
  | { readonly kind: 'chosen'; readonly key: string };

/** A key with this prefix is a ticket or invalid; a key chosen by the caller cannot start with it. */
const ticketPrefix = 'zt1.';
const maxKeyLength = 512;
const chosenKeyPattern = /^[A-Za-z0-9._~:+=@-]{1,200}$/;

const signatureOf = (secret: string, payload: string): Buffer =>
  createHmac('sha256', secret).update(`ticket\n${payload}`).digest();

const decodeTicket = (payload: string): Ticket | undefined => {
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

const invalidKey = (detail: string): Either<Failure, never> =>
  Left(Failure.create('invalid-request', `Idempotency-Key: ${detail}`));

/** Encodes a ticket and signs it with the secret shared by all nodes. */
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
  return `${ticketPrefix}${payload}.${signatureOf(secret, payload).toString('base64url')}`;
};

/** Parses an `Idempotency-Key`. A forged ticket is refused and never treated as a chosen key. */
export const readIdempotencyKey = (
  secret: string,
  clientAccount: ClientAccountId,
  key: string,
): Either<Failure, IdempotencyKey> => {
  if (!key.startsWith(ticketPrefix)) {
    return chosenKeyPattern.test(key)
      ? Right({ kind: 'chosen', key })
      : invalidKey(
          'a key that is not a ticket must have 1 to 200 of the characters A-Z a-z 0-9 . _ ~ : + = @ -',
        );
  }
  const [payload, signature, ...rest] =
    key.length > maxKeyLength ? [] : key.slice(ticketPrefix.length).split('.');
  if (payload === undefined || signature === undefined || rest.length > 0) {
    return invalidKey('the ticket is malformed');
  }
  const expectedSignature = signatureOf(secret, payload);
  const givenSignature = Buffer.from(signature, 'base64url');
  if (
    givenSignature.length !== expectedSignature.length ||
    !timingSafeEqual(givenSignature, expectedSignature)
  ) {
    return invalidKey('the signature of the ticket is invalid');
  }
  const ticket = decodeTicket(payload);
  if (ticket?.clientAccount !== clientAccount) {
    return invalidKey('the ticket was issued to another account');
  }
  return Right({ kind: 'ticket', key, ticket });
};
