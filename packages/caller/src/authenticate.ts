import { createHash, timingSafeEqual } from 'node:crypto';
import { Failure } from '@zinniagrade/errors';
import type { ClientAccount, ClientAccountId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';

const scheme = 'Bearer ';

/** SHA-256 of a secret in hexadecimal, as the configuration stores it. */
export const hashSecret = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');

/** The account that `Authorization: Bearer <account>.<secret>` authenticates. */
export const authenticate = (
  header: string | undefined,
  findAccount: (id: ClientAccountId) => ClientAccount | undefined,
): Either<Failure, ClientAccount> => {
  const authenticationFailure = Left(
    Failure.create(
      'unauthenticated',
      'no valid credentials: send Authorization: Bearer <account>.<secret>',
    ),
  );
  const credentials = header?.startsWith(scheme) === true ? header.slice(scheme.length) : '';
  // An account id may contain a dot; the secret follows the last dot.
  const dot = credentials.lastIndexOf('.');
  if (dot < 1) {
    return authenticationFailure;
  }
  const account = findAccount(credentials.slice(0, dot));
  const givenHash = Buffer.from(hashSecret(credentials.slice(dot + 1)), 'hex');
  const expectedHash = Buffer.from(account?.secretHash ?? '', 'hex');
  return account !== undefined &&
    expectedHash.length === givenHash.length &&
    timingSafeEqual(givenHash, expectedHash)
    ? Right(account)
    : authenticationFailure;
};
