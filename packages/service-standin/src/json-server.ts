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
  /** The parsed JSON body; undefined if the body is empty. */
  readonly body: unknown;
  readonly response: ServerResponse;
}

/** `undefined` if the handler writes the response itself or has closed the connection. */
export type JsonAnswer = { readonly status: number; readonly body?: unknown } | undefined;

export type JsonHandler = (request: JsonRequest) => JsonAnswer | Promise<JsonAnswer>;

export interface JsonServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/** Passes a valid body to `handle`; answers 400 with every invalid field otherwise. */
export const checkBody = <Body>(
  schema: z.ZodType<Body>,
  body: unknown,
  handle: (body: Body) => JsonAnswer,
): JsonAnswer =>
  checkDocument(schema, body).caseOf({
    Left: (faults) => ({ status: 400, body: { error: formatFieldErrors(faults) } }),
    Right: handle,
  });

const readBody = async (request: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
};

const handleRequest = async (
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

const sendAnswer = (response: ServerResponse, answer: JsonAnswer): void => {
  if (answer === undefined || response.destroyed || response.headersSent) {
    return;
  }
  const text = answer.body === undefined ? '' : JSON.stringify(answer.body);
  response.writeHead(answer.status, {
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
      // A write fails after the caller has disconnected; the stand-ins ignore that.
      response.on('error', () => undefined);
      handleRequest(handler, request, response).then(
        (answer) => {
          sendAnswer(response, answer);
        },
        (error: unknown) => {
          sendAnswer(response, { status: 500, body: { error: String(error) } });
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

/** Prints the ready line, which tells the parent process the port. */
export const printReady = (port: number): void => {
  process.stdout.write(`${JSON.stringify({ ready: true, port })}\n`);
};

/** Starts the server of a program; if that fails, prints the error and exits with code 1. */
export const serveOrExit = async (createJsonServer: () => Promise<JsonServer>): Promise<void> => {
  try {
    printReady((await createJsonServer()).port);
  } catch (error) {
    process.stderr.write(`cannot listen: ${String(error)}\n`);
    process.exit(1);
  }
};
