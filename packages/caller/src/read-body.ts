import type { IncomingMessage } from 'node:http';
import { Failure } from '@zinniagrade/errors';
import { Either, Left } from 'purify-ts';
import type { z } from 'zod';

export const maxBodyBytes = 1024 * 1024;

/** Reads the whole body. A truncated body is a failure. */
const readBytes = (request: IncomingMessage): Promise<Either<Failure, Buffer>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const tooLarge = Left(
      Failure.create(
        'payload-too-large',
        `the body is longer than the limit of ${maxBodyBytes} bytes`,
      ),
    );
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      resolve(tooLarge);
      return;
    }
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBodyBytes) {
        chunks.length = 0;
        resolve(tooLarge);
      } else {
        chunks.push(chunk);
      }
    });
    request.once('end', () => {
      resolve(Either.of(Buffer.concat(chunks)));
    });
    request.once('close', () => {
      resolve(
        Left(
          Failure.create(
            'invalid-request',
            'the connection closed before the whole body was received',
          ),
        ),
      );
    });
    request.once('error', () => {
      resolve(
        Left(
          Failure.create(
            'invalid-request',
            'the connection closed before the whole body was received',
          ),
        ),
      );
    });
  });

const describeIssue = (issue: z.core.$ZodIssue): string =>
  `${issue.path.length === 0 ? '(root)' : issue.path.map(String).join('.')}: ${issue.message}`;

/** Reads the JSON body of a request and validates it against a schema. */
export const readBody = async <Body>(
  request: IncomingMessage,
  schema: z.ZodType<Body>,
): Promise<Either<Failure, Body>> =>
  (await readBytes(request)).chain((bytes) =>
    Either.encase(() => JSON.parse(bytes.toString('utf8')) as unknown)
      .mapLeft(() => Failure.create('invalid-request', 'the body is not valid JSON'))
      .chain((document) => {
        const parsed = schema.safeParse(document);
        return parsed.success
          ? Either.of<Failure, Body>(parsed.data)
          : Left(
              Failure.create(
                'invalid-request',
                parsed.error.issues.map(describeIssue).join('; ').slice(0, 500),
              ),
            );
      }),
  );
