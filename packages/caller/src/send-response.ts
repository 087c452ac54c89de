import type { ServerResponse } from 'node:http';
import type { Failure } from '@zinniagrade/errors';
import { Problem } from '@zinniagrade/errors';

const send = (
  response: ServerResponse,
  status: number,
  contentType: string,
  document: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = Buffer.from((JSON.stringify(document) as string | undefined) ?? 'null');
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': body.length,
    ...headers,
  });
  response.end(body);
};

export const sendJson = (response: ServerResponse, status: number, document: unknown): void => {
  send(response, status, 'application/json', document);
};

/** Sends a failure as a problem document, with its retry delay in whole seconds. */
export const sendProblem = (response: ServerResponse, failure: Failure): void => {
  const problem = Problem.create(failure);
  // The rest of an oversized body is not read, so the connection cannot be reused.
  const closeHeader: Readonly<Record<string, string>> =
    failure.kind === 'payload-too-large' ? { connection: 'close' } : {};
  const retryHeader: Readonly<Record<string, string>> =
    failure.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(failure.retryAfterMs / 1000)) };
  send(response, problem.status, 'application/problem+json', problem, {
    ...closeHeader,
    ...retryHeader,
  });
};
