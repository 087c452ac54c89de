import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Failure } from '@zinniagrade/errors';
import type { ClientAccount, Milliseconds, ServiceId } from '@zinniagrade/types';
import { Either } from 'purify-ts';
import { z } from 'zod';
import { sendJson, sendProblem } from './send-response.js';
import { authenticate } from './authenticate.js';
import type { CallerApi, StreamControl, StreamOutput } from './caller-api.js';
import { readBody } from './read-body.js';
import { OpenStreams } from './open-streams.js';
import { createSseOutput } from './sse-output.js';

export interface CallerServer {
  readonly port: number;
  /** Stops accepting connections; those that are open continue. */
  readonly stopListening: () => void;
  /** Stops listening and closes all connections. */
  readonly close: () => Promise<void>;
}

export interface CallerServerSettings {
  readonly host: string;
  readonly port: number;
}

const maxHeaderBytes = 16 * 1024;
/** Limit for receiving a request and for idle connections between requests. */
const requestTimeoutMs: Milliseconds = 30_000;
/** Limit for a caller that does not read its stream, and for a call without a response. */
const responseIdleTimeoutMs: Milliseconds = 60_000;
const maxConnections = 20_000;

const generationSchema = z.strictObject({
  prompt: z.string(),
  maxTokens: z.int().min(1).max(1_000_000).optional(),
  priority: z.int().min(0).max(9).optional(),
  restart: z.boolean().optional(),
});

const callSchema = z.strictObject({
  operation: z.string().min(1).max(200),
  arguments: z.unknown(),
});

const headerOf = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const startStream = (
  { openStreams, account, request, response }: AuthenticatedRequest,
  start: (output: StreamOutput) => StreamControl,
): void => {
  if (!openStreams.tryAcquire(account)) {
    sendProblem(
      response,
      Failure.create(
        'account-limit',
        `the account has reached its limit of ${account.maxOpenStreams} open streams`,
        1_000,
      ),
    );
    return;
  }
  // The upstream timeouts bound the wait for the engine, so the socket needs no timeout of its own.
  // The timer below runs only while the caller does not read; one per token would cost too much.
  const { socket } = request;
  socket.setTimeout(0);
  let unreadTimer: NodeJS.Timeout | undefined;
  let ended = false;
  const releaseSlot = (): void => {
    if (!ended) {
      ended = true;
      openStreams.release(account);
      // Bounds the wait for a caller that does not read the remaining data.
      socket.setTimeout(responseIdleTimeoutMs);
    }
  };
  const output = createSseOutput(response, releaseSlot);
  const control = start({
    ...output,
    flush: () => {
      const canWriteMore = output.flush();
      if (!canWriteMore) {
        unreadTimer ??= setTimeout(() => {
          socket.destroy();
        }, responseIdleTimeoutMs);
      }
      return canWriteMore;
    },
  });
  socket.on('drain', () => {
    clearTimeout(unreadTimer);
    unreadTimer = undefined;
    control.drained();
  });
  response.once('close', () => {
    clearTimeout(unreadTimer);
    if (!ended) {
      releaseSlot();
      control.callerGone();
    }
  });
};

/** Sends a failure as a problem document, or passes the value to `sendValue`. */
const respond = <Value>(
  response: ServerResponse,
  either: Either<Failure, Value>,
  sendValue: (value: Value) => void,
): void => {
  either
    .ifLeft((failure) => {
      sendProblem(response, failure);
    })
    .ifRight(sendValue);
};

/** A request from an authenticated account, with what its handlers need. */
interface AuthenticatedRequest {
  readonly api: CallerApi;
  readonly openStreams: OpenStreams;
  readonly account: ClientAccount;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const handleCall = async (
  authenticated: AuthenticatedRequest,
  service: ServiceId,
): Promise<void> => {
  const { api, account, request, response } = authenticated;
  // A call may take longer than the request timeout: the upstream may use its whole call timeout.
  request.socket.setTimeout(responseIdleTimeoutMs);
  const body = await readBody(request, callSchema);
  if (body.isLeft()) {
    respond(response, body, () => undefined);
    return;
  }
  const call = body.unsafeCoerce();
  const result = await api.call({
    clientAccount: account.id,
    service,
    operation: call.operation,
    arguments: call.arguments,
    idempotencyKey: headerOf(request, 'idempotency-key'),
  });
  respond(response, result, (value) => {
    sendJson(response, 200, { result: value });
  });
};

const handleGeneration = async (
  authenticated: AuthenticatedRequest,
  service: ServiceId,
): Promise<void> => {
  const { api, account, request, response } = authenticated;
  respond(response, await readBody(request, generationSchema), (body) => {
    startStream(authenticated, (output) =>
      api.generate(
        { ...body, clientAccount: account.id, service, restart: body.restart ?? false },
        output,
      ),
    );
  });
};

const resumeOrCancel = async (authenticated: AuthenticatedRequest): Promise<void> => {
  const { api, account, request, response } = authenticated;
  const token = headerOf(request, 'last-event-id') ?? '';
  if (request.method === 'GET') {
    startStream(authenticated, (output) => api.resume(account.id, token, output));
  } else {
    respond(response, await api.cancel(account.id, token), () => {
      sendJson(response, 200, {});
    });
  }
};

const servicePath = /^\/v1\/services\/([^/]+)\/(generations|calls)$/;

const routeAuthenticated = async (authenticated: AuthenticatedRequest, url: URL): Promise<void> => {
  const { api, account, request, response } = authenticated;
  const { method } = request;
  const [, encoded, resource] = servicePath.exec(url.pathname) ?? [];
  if (method === 'POST' && encoded !== undefined) {
    const service = Either.encase(() => decodeURIComponent(encoded)).orDefault(encoded);
    await (resource === 'calls'
      ? handleCall(authenticated, service)
      : handleGeneration(authenticated, service));
  } else if (url.pathname === '/v1/generations' && (method === 'GET' || method === 'DELETE')) {
    await resumeOrCancel(authenticated);
  } else if (method === 'GET' && url.pathname === '/v1/address') {
    const service = url.searchParams.get('service') ?? '';
    respond(response, api.addresses(account.id, service), (addresses) => {
      sendJson(response, 200, addresses);
    });
  } else if (method === 'GET' && url.pathname === '/v1/status') {
    sendJson(response, 200, api.status());
  } else {
    sendProblem(
      response,
      Failure.create('not-found', `no such operation: ${method ?? ''} ${url.pathname}`),
    );
  }
};

const handleRequest = async (
  api: CallerApi,
  openStreams: OpenStreams,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const target = Either.encase(() => new URL(request.url ?? '/', 'http://entry'));
  if (target.isLeft()) {
    sendProblem(
      response,
      Failure.create('invalid-request', 'the request target is not a valid URL'),
    );
    return;
  }
  const url = target.unsafeCoerce();
  if (request.method === 'GET' && url.pathname === '/healthz') {
    sendJson(response, 200, { ok: true });
    return;
  }
  const account = authenticate(headerOf(request, 'authorization'), api.clientAccount);
  if (account.isLeft()) {
    respond(response, account, () => undefined);
    return;
  }
  await routeAuthenticated(
    { api, openStreams, account: account.unsafeCoerce(), request, response },
    url,
  );
};

/** Listens for callers. Rejects if the port is in use or cannot be bound. */
export const listenForCallers = async (
  api: CallerApi,
  settings: CallerServerSettings,
): Promise<CallerServer> => {
  const openStreams = OpenStreams.create();
  const server = createServer(
    {
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: requestTimeoutMs,
      headersTimeout: requestTimeoutMs,
      keepAliveTimeout: requestTimeoutMs,
      noDelay: true,
    },
    (request, response) => {
      response.on('error', () => undefined);
      handleRequest(api, openStreams, request, response).catch((error: unknown) => {
        sendProblem(
          response,
          Failure.create('internal', error instanceof Error ? error.message : 'unexpected error'),
        );
      });
    },
  );
  server.maxConnections = maxConnections;
  server.setTimeout(requestTimeoutMs);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(settings.port, settings.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    stopListening: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};
