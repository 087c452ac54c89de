import { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import type { Dispatcher } from 'undici';

/** Where an upstream listens. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

export const originOf = ({ host, port }: UpstreamAddress): string =>
  `http://${host.includes(':') ? `[${host}]` : host}:${port}`;

const timeoutCodes: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/**
 * The failure that a broken exchange proves. Before the request was handed to a socket nothing can
 * have run; after that a byte may have left, and whether it ran is not known.
 */
export const failureOf = (error: Error, requestStarted: boolean): Failure => {
  if (!requestStarted) {
    return Failure.create('upstream-unreachable', `not connected: ${error.message}`);
  }
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return timeoutCodes.has(code)
    ? Failure.create('upstream-timeout', 'the upstream sent nothing within the time allowed')
    : Failure.create('upstream-failed', `the exchange broke off: ${error.message}`);
};

/** What the reader of an answer is told; exactly one of `end` and `broken` is the last call. */
export interface ResponseListener {
  readonly start: (status: number) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly failed: (failure: Failure) => void;
}

/** Control over a running exchange. */
export interface Exchange {
  /** Stops reading, so that the upstream meets a full window. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection; the reader hears nothing more. */
  readonly close: () => void;
}

export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headersTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** Sends one request. It is never sent twice, whatever happens to the connection. */
export const openExchange = (
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  reader: ResponseListener,
): Exchange => {
  let controller: Dispatcher.DispatchController | undefined;
  let closed = false;
  const body = request.body === undefined ? undefined : JSON.stringify(request.body);
  dispatcher.dispatch(
    {
      origin: originOf(address),
      path: request.path,
      method: request.method,
      body: body ?? null,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      headersTimeout: request.headersTimeoutMs,
      bodyTimeout: request.idleTimeoutMs,
    },
    {
      onRequestStart: (started) => {
        const again = controller !== undefined;
        controller = started;
        if (closed || again) {
          started.abort(new Error(again ? 'the request was already sent' : 'closed'));
        }
      },
      onResponseStart: (_controller, status) => {
        if (!closed && status >= 200) {
          reader.start(status);
        }
      },
      onResponseData: (_controller, chunk) => {
        if (!closed) {
          reader.data(chunk);
        }
      },
      onResponseEnd: () => {
        if (!closed) {
          closed = true;
          reader.end();
        }
      },
      onResponseError: (_controller, error) => {
        if (!closed) {
          closed = true;
          reader.failed(failureOf(error, controller !== undefined));
        }
      },
    },
  );
  return {
    pause: () => {
      controller?.pause();
    },
    resume: () => {
      controller?.resume();
    },
    close: () => {
      if (!closed) {
        closed = true;
        controller?.abort(new Error('closed'));
      }
    },
  };
};
