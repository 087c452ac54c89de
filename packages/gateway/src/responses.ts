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

const emptyBody = Buffer.alloc(0);
const noContent = 204;
const resetContent = 205;
const notModified = 304;

/**
 * Sends a complete upstream response to the caller. RFC 9110 allows no content for 204, 205 and 304;
 * 204 states no length either, and that of 304 would be taken for the length of the stored response.
 */
export const forwardResponse = (
  unread: UnreadResponses,
  response: ServerResponse,
  head: ResponseHead,
  body: Buffer,
): void => {
  const { status, headers } = head;
  if (status === noContent || status === notModified) {
    response.writeHead(status, [...headers]);
    unread.end(response, emptyBody);
    return;
  }
  const content = status === resetContent ? emptyBody : body;
  response.writeHead(status, [...headers, 'Content-Length', String(content.length)]);
  unread.end(response, content);
};

/** Sends the status and headers of a streamed response. */
export const beginStreamResponse = (response: ServerResponse, head: ResponseHead): void => {
  response.writeHead(head.status, [...head.headers]);
  response.flushHeaders();
};
