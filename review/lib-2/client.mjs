import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { now } from './record.mjs';

let count = 0;

/**
 * Sends one request on a new connection, or on one of the agent. Resolves when the connection has
 * given the complete answer or has ended without it.
 */
export const send = (port, { method, path, headers = {}, body, deadlineMs, agent }) => {
  count += 1;
  const id = `a${count.toString(16).padStart(8, '0')}`;
  const sentAtMs = now();
  const answer = { id, path, sentAtMs, status: undefined, complete: false, events: 0 };
  return new Promise((resolve) => {
    const end = (reason) => {
      answer.endedAtMs ??= now();
      answer.reason ??= reason;
      resolve(answer);
    };
    const request = httpRequest(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: agent ?? false,
        headers: {
          host: 'a.example',
          'x-zinniagrade-attempt-id': id,
          'x-zinniagrade-deadline-ms': String(deadlineMs),
          'api-key': 'key-1',
          ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }),
          ...headers,
        },
      },
      (response) => {
        answer.status = response.statusCode;
        answer.sealed = response.headers['x-zinniagrade-instance-seal'] !== undefined;
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          answer.complete = response.complete;
          answer.body = Buffer.concat(chunks).toString();
          answer.events = answer.body.split('\n').filter((line) => line.startsWith('id:')).length;
          end(response.complete ? 'answered' : 'the connection ended within the answer');
        });
      },
    );
    request.on('error', (error) => end(error.message));
    // The client gives up a while after its deadline; the rules judge what comes before that.
    request.setTimeout(0);
    request.end(body);
  });
};
