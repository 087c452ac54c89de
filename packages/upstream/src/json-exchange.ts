import { Failure } from '@zinniagrade/errors';
import { Either, Left, Right } from 'purify-ts';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { ExchangeRequest, UpstreamAddress } from './exchange.js';
import { openExchange } from './exchange.js';

/** Limit on a response that is read as a whole. */
export const maxResponseBytes = 1024 * 1024;

const refusalSchema = z.object({ refused: z.string() });

const parseJson = (text: string): Either<Failure, unknown> =>
  Either.encase(() => JSON.parse(text) as unknown).mapLeft(() =>
    Failure.create('upstream-failed', 'the response is not valid JSON'),
  );

/**
 * The failure of a response with an error status. Only status 503 with `{ refused }`, by which the
 * upstream itself refuses the request, proves that it did not run.
 */
export const failureOfStatus = (status: number, body: string): Failure => {
  const refusalResult = parseJson(body).map((document) => refusalSchema.safeParse(document));
  return refusalResult.caseOf({
    Left: () => Failure.create('upstream-failed', `the upstream answered with status ${status}`),
    Right: (parsed) =>
      status === 503 && parsed.success
        ? Failure.create('upstream-refused', parsed.data.refused.slice(0, 200))
        : Failure.create('upstream-failed', `the upstream answered with status ${status}`),
  });
};

/** Sends one request and validates its JSON response of at most `maxResponseBytes`. */
export const exchangeJson = <Value>(
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  schema: z.ZodType<Value>,
): Promise<Either<Failure, Value>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let status = 0;
    const exchange = openExchange(dispatcher, address, request, {
      start: (statusCode) => {
        status = statusCode;
      },
      data: (chunk) => {
        bytes += chunk.length;
        if (bytes > maxResponseBytes) {
          exchange.close();
          resolve(Left(Failure.create('upstream-failed', 'the response is too large')));
          return;
        }
        chunks.push(chunk);
      },
      failed: (failure) => {
        resolve(Left(failure));
      },
      end: () => {
        const body = Buffer.concat(chunks).toString('utf8');
        if (status < 200 || status > 299) {
          resolve(Left(failureOfStatus(status, body)));
          return;
        }
        resolve(
          parseJson(body === '' ? 'null' : body).chain((document) => {
            const parsed = schema.safeParse(document);
            return parsed.success
              ? Right(parsed.data)
              : Left(
                  Failure.create(
                    'upstream-failed',
                    `the response does not match the schema: ${parsed.error.message}`,
                  ),
                );
          }),
        );
      },
    });
  });
