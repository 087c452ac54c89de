import { createHash, timingSafeEqual } from 'node:crypto';
import { Failure } from '@zinniagrade/errors';
import { type Either, Left, Right } from 'purify-ts';
import type { OperatorCredential } from './operator-settings.js';

/** Returns the name of the operator whose bearer token the header contains. */
export const authenticate = (
  header: string | undefined,
  credentials: readonly OperatorCredential[],
): Either<Failure, string> => {
  const token = /^Bearer (.+)$/.exec(header ?? '')?.[1];
  if (token === undefined) {
    return Left(Failure.create('unauthenticated', 'no bearer token in the authorization metadata'));
  }
  const hash = createHash('sha256').update(token).digest();
  for (const { name, tokenHash } of credentials) {
    const expected = Buffer.from(tokenHash, 'hex');
    if (expected.length === hash.length && timingSafeEqual(expected, hash)) {
      return Right(name);
    }
  }
  return Left(Failure.create('unauthenticated', 'bearer token does not belong to an operator'));
};
