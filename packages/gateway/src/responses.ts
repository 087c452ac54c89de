import type { ServerResponse } from 'node:http';
import { Problem, type Failure } from '@zinniagrade/errors';
import type { UnreadResponses } from './unread-responses.js';
import type { ResponseHead } from './upstream-client.js';

const msPerSecond = 1000;

/** Writes the problem document (RFC 9457) of a failure. The response has yet to be ended. */
export const writeFailure = (response: ServerResponse, failure: Failure): void => {
  const problem = Problem.create(failure);
  const body = Buffer.from(JSON.stringify(problem));
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    ...(failure.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (failure.retryAfterMs / msPerSecond).toFixed(3) }),
  });
  response.write(body);
};

/**
 * Responds with a failure. If the head was sent, the connection is closed instead; it is reset if
 * the body isn't chunked, as a close in order would complete it.
 */
export const sendFailure = (response: ServerResponse, failure: Failure): void => {
  if (response.headersSent && !response.chunkedEncoding) {
    response.socket?.resetAndDestroy();
  }
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  writeFailure(response, failure);
  response.end();
};

/** Sends a complete upstream response to the caller. */
export const forwardResponse = (
  unread: UnreadResponses,
  response: ServerResponse,
  head: ResponseHead,
  body: Buffer,
): void => {
  response.writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)]);
  unread.end(response, body);
};

/** Sends the status and headers of a streamed response. */
export const beginStreamResponse = (response: ServerResponse, head: ResponseHead): void => {
  response.writeHead(head.status, [...head.headers]);
  response.flushHeaders();
};
