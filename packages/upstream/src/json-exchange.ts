import { Failure } from '@zinniagrade/errors';
import { Either, Left, Right } from 'purify-ts';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { ExchangeRequest, UpstreamAddress } from './exchange.js';
import { openExchange } from './exchange.js';

/** Longest answer that is read from an upstream in one piece. */
export const maxResponseBytes = 1024 * 1024;

const refusal = z.object({ refused: z.string() });

const parseJson = (text: string): Either<Failure, unknown> =>
  Either.encase(() => JSON.parse(text) as unknown).mapLeft(() =>
    Failure.create('upstream-failed', 'the answer is not JSON'),
  );

/**
 * The failure of an answer with an error status. Only the upstream's own statement that it refused
 * proves that nothing ran.
 */
export const failureOfStatus = (status: number, body: string): Failure => {
  const refused = parseJson(body).map((document) => refusal.safeParse(document));
  return refused.caseOf({
    Left: () => Failure.create('upstream-failed', `status ${status}`),
    Right: (parsed) =>
      status === 503 && parsed.success
        ? Failure.create('upstream-refused', parsed.data.refused.slice(0, 200))
        : Failure.create('upstream-failed', `status ${status}`),
  });
};

/** One request with a JSON answer of at most `maxAnswerBytes`, checked against a schema. */
export const exchangeJson = <Answer>(
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  schema: z.ZodType<Answer>,
): Promise<Either<Failure, Answer>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let status = 0;
    const exchange = openExchange(dispatcher, address, request, {
      start: (started) => {
        status = started;
      },
      data: (chunk) => {
        bytes += chunk.length;
        if (bytes > maxResponseBytes) {
          exchange.close();
          resolve(Left(Failure.create('upstream-failed', 'the answer is too large')));
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
              : Left(Failure.create('upstream-failed', `answer: ${parsed.error.message}`));
          }),
        );
      },
    });
  });
