import { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import type { Dispatcher } from 'undici';

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
 * The failure of an exchange that ended with an error. Before the request was passed to a socket it
 * cannot have run; afterwards bytes may have been sent, and whether it ran is unknown.
 */
export const failureOf = (error: Error, requestStarted: boolean): Failure => {
  if (!requestStarted) {
    return Failure.create('upstream-unreachable', `connection failed: ${error.message}`);
  }
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return timeoutCodes.has(code)
    ? Failure.create('upstream-timeout', 'the upstream sent no data within the timeout')
    : Failure.create('upstream-failed', `the connection broke: ${error.message}`);
};

/** Receives a response as it arrives. The last call is either `end` or `failed`. */
export interface ResponseListener {
  readonly start: (status: number) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly failed: (failure: Failure) => void;
}

/** Controls one HTTP request and its response. */
export interface Exchange {
  /** Stops reading, so that TCP flow control slows the upstream down. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Closes the connection. The listener is not called again. */
  readonly close: () => void;
}

export interface ExchangeRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headersTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** Sends one request. It is never sent again, even if the connection breaks. */
export const openExchange = (
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  listener: ResponseListener,
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
      onRequestStart: (newController) => {
        const alreadySent = controller !== undefined;
        controller = newController;
        if (closed || alreadySent) {
          newController.abort(new Error(alreadySent ? 'the request was already sent' : 'closed'));
        }
      },
      onResponseStart: (_controller, status) => {
        if (!closed && status >= 200) {
          listener.start(status);
        }
      },
      onResponseData: (_controller, chunk) => {
        if (!closed) {
          listener.data(chunk);
        }
      },
      onResponseEnd: () => {
        if (!closed) {
          closed = true;
          listener.end();
        }
      },
      onResponseError: (_controller, error) => {
        if (!closed) {
          closed = true;
          listener.failed(failureOf(error, controller !== undefined));
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
