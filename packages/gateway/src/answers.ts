import type { ServerResponse } from 'node:http';
import { Problem, type Failure } from '@zinniagrade/errors';
import type { AnswerHead } from './upstream-client.js';

const msPerSecond = 1000;

/** Answers with the problem document of a failure. */
export const sendFailure = (response: ServerResponse, failure: Failure): void => {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const problem = Problem.create(failure);
  const body = Buffer.from(JSON.stringify(problem));
  response.writeHead(problem.status, {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    ...(failure.retryAfterMs === undefined
      ? {}
      : { 'retry-after': (failure.retryAfterMs / msPerSecond).toFixed(3) }),
  });
  response.end(body);
};

/** Passes on a whole answer of an upstream. */
export const sendWhole = (response: ServerResponse, head: AnswerHead, body: Buffer): void => {
  response.writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)]);
  response.end(body);
};

/** Begins to pass on a stream. */
export const beginStream = (response: ServerResponse, head: AnswerHead): void => {
  response.writeHead(head.status, [...head.headers]);
  response.flushHeaders();
};
