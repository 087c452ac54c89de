import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { z } from 'zod';

export interface JsonRequest {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  /** The parsed body; undefined without one. */
  readonly body: unknown;
  readonly response: ServerResponse;
}

/** `undefined` means that the handler has taken over the response, or dropped the connection. */
export type JsonAnswer = { readonly status: number; readonly body?: unknown } | undefined;

export type JsonHandler = (request: JsonRequest) => JsonAnswer | Promise<JsonAnswer>;

export interface JsonServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/** Answers 400 with every wrong field, or hands the checked body on. */
export const checkBody = <Body>(
  schema: z.ZodType<Body>,
  body: unknown,
  use: (body: Body) => JsonAnswer,
): JsonAnswer =>
  checkDocument(schema, body).caseOf({
    Left: (faults) => ({ status: 400, body: { error: formatFieldErrors(faults) } }),
    Right: use,
  });

const readBody = async (request: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
};

const answer = async (
  handler: JsonHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<JsonAnswer> => {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  let body: unknown;
  try {
    body = await readBody(request);
  } catch (error) {
    return { status: 400, body: { error: String(error) } };
  }
  const path = url.pathname.split('/').slice(1).map(decodeURIComponent);
  return handler({
    method: request.method ?? 'GET',
    path,
    query: url.searchParams,
    body,
    response,
  });
};

const send = (response: ServerResponse, given: JsonAnswer): void => {
  if (given === undefined || response.destroyed || response.headersSent) {
    return;
  }
  const text = given.body === undefined ? '' : JSON.stringify(given.body);
  response.writeHead(given.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const listen = (server: Server, host: string, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });

/** An HTTP server with JSON bodies, shared by the stand-ins. */
export const JsonServer = {
  /** Rejects when the port is in use. */
  create: async (host: string, port: number, handler: JsonHandler): Promise<JsonServer> => {
    const server = createServer((request, response) => {
      // A caller that has gone away makes the write fail; a stand-in has no use for this error.
      response.on('error', () => undefined);
      answer(handler, request, response).then(
        (given) => {
          send(response, given);
        },
        (error: unknown) => {
          send(response, { status: 500, body: { error: String(error) } });
        },
      );
    });
    const actualPort = await listen(server, host, port);
    return {
      port: actualPort,
      close: () =>
        new Promise((resolve) => {
          server.close(() => {
            resolve();
          });
          server.closeAllConnections();
        }),
    };
  },
};

/** Tells the process that started this one on which port it listens. */
export const printReady = (port: number): void => {
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`);
};

/** Starts a server for a process's `main`; a port in use ends the process with a clear message. */
export const serveOrExit = async (create: () => Promise<JsonServer>): Promise<void> => {
  try {
    printReady((await create()).port);
  } catch (error) {
    process.stderr.write(`cannot listen: ${String(error)}\n`);
    process.exit(1);
  }
};
