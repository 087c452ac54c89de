import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Failure } from '@zinniagrade/errors';
import {
  fingerprintOf,
  isValidEventId,
  type Configuration,
  type Engine,
  type Route,
  type Service,
  type Target,
} from '@zinniagrade/serving';
import { refuseBrokenRequests } from './broken-requests.js';
import { RequestBodies } from './request-bodies.js';
import { RequestDeadline } from './request-deadline.js';
import { createLeavingFailure } from './leaving-failure.js';
import { onResponseClose } from './response-close.js';
import { sendFailure, writeFailure } from './responses.js';
import type { Call, ServingContext } from './call.js';
import type { CallerRequest, ReadCallerRequest } from './caller-request.js';

/** Used where the caller states no timeout. */
const defaultCallerTimeoutMs = 60_000;
/** Retry delay while there is no configuration: a store outage lasts seconds. */
const noConfigurationRetryAfterMs = 2000;
/**
 * Time for a caller to read the refusal of a request whose body it still sends, before its
 * connection is closed.
 */
const lingerMs = 500;
/** Each line of a head takes a multiple of its bytes for as long as its request is open. */
const maxHeaderLines = 100;

export interface CallerServerOptions {
  readonly read: ReadCallerRequest;
  readonly serveCall: (call: Call) => void;
  readonly serveStream: (call: Call, engine: Engine) => void;
  /** Called with a listener for the time from which a node that shuts down reads no more requests. */
  readonly onReadingEnds: (listener: () => void) => void;
}

/** HTTP server for callers: reads and checks requests, and passes them on to be served. */
export interface CallerServer {
  readonly server: Server;
  /** Applies the connection limits and the time-outs of a configuration that came into force. */
  readonly configure: (configuration: Configuration) => void;
  /** Requests from the arrival of their head until their response was sent. */
  readonly activeRequests: () => number;
}

/** A request that was read, with what the configuration in force at its arrival says of it. */
interface RoutedRequest {
  readonly request: CallerRequest;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly account: Call['account'];
  readonly configuration: Configuration;
  readonly arrivedAtMs: number;
}

const chooseTarget = (targets: readonly Target[], random: () => number): Target | undefined => {
  let total = 0;
  for (const target of targets) {
    total += Math.max(0, target.weight);
  }
  let remainingWeight = random() * total;
  for (const target of targets) {
    remainingWeight -= Math.max(0, target.weight);
    if (remainingWeight < 0 && target.weight > 0) {
      return target;
    }
  }
  return targets.find((target) => target.weight > 0);
};

export const CallerServer = {
  create: (context: ServingContext, options: CallerServerOptions): CallerServer => {
    const { clock, log, metrics, cluster } = context;
    const bodies = RequestBodies.create(clock, context.limits.maxRequestBodyBytes, context.memory);
    /** Deadlines of open calls, with the names of their routes. */
    const openDeadlines = new Map<RequestDeadline, string>();
    let activeRequests = 0;
    options.onReadingEnds(() => {
      bodies.stopReading(createLeavingFailure());
    });

    const allowTimeoutInForce = (deadline: RequestDeadline, routeName: string): void => {
      const route = cluster.routes()?.byName.get(routeName);
      if (route !== undefined) {
        deadline.allow(route.timeoutMs);
      }
    };

    const createCall = (routed: RoutedRequest): Call => {
      const { request, body, response, route, service, account, arrivedAtMs } = routed;
      const { method, host, url, promptParts } = request;
      const prompt = promptParts.join();
      const fingerprint = fingerprintOf(account?.name ?? '', method, host, url, prompt, body);
      const listeners: (() => void)[] = [];
      let ended = false;
      metrics.addOpenRequests(1);
      const callerDeadlineAtMs = arrivedAtMs + (request.waitsMs ?? defaultCallerTimeoutMs);
      const deadline = RequestDeadline.create(clock, {
        arrivedAtMs,
        callerDeadlineAtMs,
        timeoutMs: route.timeoutMs,
      });
      // A version may have come while the body was being read.
      allowTimeoutInForce(deadline, route.name);
      openDeadlines.set(deadline, route.name);
      const end = (outcome: string, detail?: string, retryAfterMs?: number): void => {
        ended = true;
        deadline.stop();
        openDeadlines.delete(deadline);
        metrics.addOpenRequests(-1);
        const tookMs = clock.monotonicMs() - arrivedAtMs;
        metrics.recordResponse(route.name, outcome, tookMs);
        log.decision('answered', {
          request: request.id,
          route: route.name,
          kind: route.kind,
          account: account?.name,
          passedOnBy: request.passedOn?.by,
          configuration: cluster.configuration()?.version,
          configurationAtArrival: routed.configuration.version,
          timeoutMs: deadline.timeoutMs(),
          outcome,
          detail,
          fingerprint: outcome === 'complete' ? undefined : fingerprint,
          retryAfterMs,
          tookMs: Math.round(tookMs),
        });
        for (const listener of listeners) {
          listener();
        }
      };
      onResponseClose(response, () => {
        if (!ended) {
          end('caller-left');
        }
      });
      return {
        request,
        body,
        response,
        route,
        service,
        ...(account === undefined ? {} : { account }),
        fingerprint,
        ...(route.resumable && request.lastEventId !== undefined
          ? { resumeAfter: request.lastEventId }
          : {}),
        allowsVersionOf: context.rollouts.chooseVersion(service.name),
        arrivedAtMs,
        callerDeadlineAtMs,
        deadline,
        fail: (failure) => {
          if (!ended) {
            end(failure.kind, failure.detail, failure.retryAfterMs);
            sendFailure(response, failure);
          }
        },
        finish: (outcome) => {
          if (!ended) {
            end(outcome);
          }
        },
        isEnded: () => ended,
        onEnded: (listener) => {
          if (ended) {
            listener();
          } else {
            listeners.push(listener);
          }
        },
      };
    };

    /** Tells a caller of a node that shuts down to send its next request elsewhere. */
    const closeIfLeaving = (response: ServerResponse): void => {
      if (context.isLeaving()) {
        response.shouldKeepAlive = false;
      }
    };

    const refuse = (
      response: ServerResponse,
      request: CallerRequest | undefined,
      failure: Failure,
      send = sendFailure,
    ): void => {
      log.decision('refused', {
        request: request?.id,
        outcome: failure.kind,
        detail: failure.detail,
        configuration: cluster.configuration()?.version,
        retryAfterMs: failure.retryAfterMs,
      });
      metrics.countDecision(`refused-${failure.kind}`);
      closeIfLeaving(response);
      send(response, failure);
    };

    const releaseWhenClosed = (response: ServerResponse, body: Buffer): void => {
      if (response.destroyed || response.req.socket.destroyed) {
        bodies.release(body);
      } else {
        onResponseClose(response, () => {
          bodies.release(body);
        });
      }
    };

    /**
     * Sends a failure to a caller that may never stop to send its body. The response is whole, but
     * ended later: the end closes the connection, and a reset for unread bytes may overtake it.
     */
    const sendFailureAndLinger = (response: ServerResponse, failure: Failure): void => {
      response.shouldKeepAlive = false;
      writeFailure(response, failure);
      const cancelEnd = clock.after(lingerMs, () => response.end());
      response.once('close', cancelEnd);
    };

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
      const arrivedAtMs = clock.monotonicMs();
      if (message.rawHeaders.length > 2 * maxHeaderLines) {
        response.shouldKeepAlive = false;
        const detail = `the head has more than ${String(maxHeaderLines)} header lines`;
        refuse(response, undefined, Failure.create('invalid-request', detail));
        return;
      }
      const read = options.read(message);
      if (read.isLeft()) {
        refuse(response, undefined, read.swap().unsafeCoerce());
        return;
      }
      const request = read.unsafeCoerce();
      const configuration = cluster.configuration();
      const routes = cluster.routes();
      const body = await bodies.read(message, {
        maxBytes: configuration?.limits.maxBodyBytes ?? context.limits.maxRequestBodyBytes,
        timeoutMs: request.waitsMs ?? defaultCallerTimeoutMs,
      });
      if (!Buffer.isBuffer(body)) {
        refuse(response, request, body, sendFailureAndLinger);
        return;
      }
      releaseWhenClosed(response, body);
      if (configuration === undefined || routes === undefined) {
        const failure = Failure.create(
          'store-unavailable',
          'this node has not received a configuration yet',
          noConfigurationRetryAfterMs,
        );
        refuse(response, request, failure);
        return;
      }
      const route = routes.find(request.host, request.url);
      if (route === undefined) {
        refuse(
          response,
          request,
          Failure.create('not-found', 'no route matches the host and path'),
        );
        return;
      }
      const account = request.key === undefined ? undefined : routes.accountOf(request.key);
      if (account === undefined && routes.needsKey && !route.anonymous) {
        refuse(
          response,
          request,
          Failure.create('unauthenticated', 'API key is missing or unknown'),
        );
        return;
      }
      if (route.resumable && !isValidEventId(request.lastEventId ?? '0')) {
        refuse(
          response,
          request,
          Failure.create('invalid-request', 'the id of the last event is not a number'),
        );
        return;
      }
      const target = chooseTarget(route.targets, context.random);
      const service = target === undefined ? undefined : configuration.services.get(target.service);
      if (service === undefined) {
        refuse(
          response,
          request,
          Failure.create('no-upstream', 'the route has no target with a configured service'),
        );
        return;
      }
      closeIfLeaving(response);
      const call = createCall({
        request,
        body,
        response,
        route,
        service,
        account,
        configuration,
        arrivedAtMs,
      });
      if (!context.canFinish(call)) {
        call.fail(createLeavingFailure());
        return;
      }
      if (route.kind === 'streaming' && service.engine !== undefined) {
        options.serveStream(call, service.engine);
      } else {
        options.serveCall(call);
      }
    };

    const server = createServer({ keepAliveTimeout: 0 }, (message, response) => {
      activeRequests += 1;
      onResponseClose(response, () => {
        activeRequests -= 1;
      });
      response.on('error', (error) => {
        log.decision('caller connection failed', { reason: error.message });
      });
      serve(message, response).catch((error: unknown) => {
        log.decision('failed to serve request', { reason: String(error) });
        // Whether the request was sent to an upstream by then is not known here.
        sendFailure(response, Failure.create('outcome-unknown', 'the request could not be served'));
      });
    });
    server.requestTimeout = 0;
    server.maxHeadersCount = maxHeaderLines + 1;
    server.on('connection', (socket) => {
      context.memory.addConnections(1);
      socket.once('close', () => {
        context.memory.addConnections(-1);
      });
    });
    refuseBrokenRequests(server, log);
    return {
      server,
      configure: ({ limits }) => {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
        for (const [deadline, routeName] of openDeadlines) {
          allowTimeoutInForce(deadline, routeName);
        }
      },
      activeRequests: () => activeRequests,
    };
  },
};
