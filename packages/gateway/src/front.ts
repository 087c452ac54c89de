import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Failure } from '@zinniagrade/errors';
import type { Configuration, Engine, Route, Service, Target } from '@zinniagrade/serving';
import { sendFailure } from './answers.js';
import type { Call, ServingContext } from './call.js';
import type { CallerRequest, ReadCallerRequest } from './caller-request.js';

/** Used where the caller states no limit of its own. */
const defaultWaitMs = 60_000;
/** An upper bound for buffered request bodies, as a share of the process's memory. */
const bodyMemoryShare = 0.2;
/** Refusals before the first configuration ask for this wait: the store is away for seconds. */
const startingRetryAfterMs = 2000;
/** A node whose memory is full has ended some of its requests after this time. */
const memoryRetryAfterMs = 500;
/** A leaving node refuses what can't end before it does; other nodes serve it at once. */
const leavingRetryAfterMs = 20;

export interface FrontOptions {
  readonly read: ReadCallerRequest;
  readonly memoryBytes: number;
  readonly serveCall: (call: Call) => void;
  readonly serveStream: (call: Call, engine: Engine) => void;
  /** Expected time to serve a request of this route from now on. */
  readonly expectedMs: (route: Route) => number;
}

/** The server towards callers. */
export interface Front {
  readonly server: Server;
  /** Takes over the limits of a configuration. */
  readonly configure: (configuration: Configuration) => void;
  readonly openRequests: () => number;
}

const pickTarget = (targets: readonly Target[], random: () => number): Target | undefined => {
  let total = 0;
  for (const target of targets) {
    total += Math.max(0, target.weight);
  }
  let left = random() * total;
  for (const target of targets) {
    left -= Math.max(0, target.weight);
    if (left < 0 && target.weight > 0) {
      return target;
    }
  }
  return targets.find((target) => target.weight > 0);
};

export const Front = {
  create: (context: ServingContext, options: FrontOptions): Front => {
    const { clock, log, metrics, view } = context;
    const maxBufferedBytes = options.memoryBytes * bodyMemoryShare;
    let bufferedBytes = 0;
    let open = 0;

    /** Reads the whole body, or fails with the reason to refuse the request. */
    const readBody = (message: IncomingMessage, limit: number): Promise<Buffer | Failure> =>
      new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        message.on('data', (chunk: Buffer) => {
          size += chunk.length;
          if (size > limit) {
            resolve(Failure.create('payload-too-large', `the limit is ${String(limit)} bytes`));
            message.removeAllListeners('data');
            message.resume();
            return;
          }
          chunks.push(chunk);
        });
        message.on('end', () => {
          resolve(Buffer.concat(chunks));
        });
        message.on('error', reject);
        message.on('close', () => {
          reject(new Error('the caller closed the connection'));
        });
      });

    const createCall = (
      request: CallerRequest,
      body: Buffer,
      response: ServerResponse,
      route: Route,
      service: Service,
      account: Call['account'],
      arrivedAtMs: number,
    ): Call => {
      const listeners: (() => void)[] = [];
      let over = false;
      open += 1;
      bufferedBytes += body.length;
      metrics.openRequests(1);
      const end = (outcome: string, detail?: string, retryAfterMs?: number): void => {
        over = true;
        open -= 1;
        bufferedBytes -= body.length;
        metrics.openRequests(-1);
        const tookMs = clock.monotonicMs() - arrivedAtMs;
        metrics.answered(route.name, outcome, tookMs);
        log.decision('answered', {
          request: request.id,
          route: route.name,
          kind: route.kind,
          account: account?.name,
          configuration: view.configuration()?.version,
          outcome,
          detail,
          retryAfterMs,
          tookMs: Math.round(tookMs),
        });
        for (const listener of listeners) {
          listener();
        }
      };
      const callerEndsAtMs = arrivedAtMs + (request.waitsMs ?? defaultWaitMs);
      response.on('close', () => {
        if (!over) {
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
        permits: context.rollouts.draw(service.name),
        arrivedAtMs,
        callerEndsAtMs,
        endsAtMs: Math.min(callerEndsAtMs, arrivedAtMs + route.timeoutMs),
        fail: (failure) => {
          if (!over) {
            end(failure.kind, failure.detail, failure.retryAfterMs);
            sendFailure(response, failure);
          }
        },
        finish: (outcome) => {
          if (!over) {
            end(outcome);
          }
        },
        isOver: () => over,
        onOver: (listener) => {
          if (over) {
            listener();
          } else {
            listeners.push(listener);
          }
        },
      };
    };

    const refuse = (
      response: ServerResponse,
      request: CallerRequest | undefined,
      failure: Failure,
    ): void => {
      log.decision('refused', {
        request: request?.id,
        outcome: failure.kind,
        detail: failure.detail,
        configuration: view.configuration()?.version,
        retryAfterMs: failure.retryAfterMs,
      });
      metrics.count(`refused-${failure.kind}`);
      sendFailure(response, failure);
    };

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
      const arrivedAtMs = clock.monotonicMs();
      const read = options.read(message);
      if (read.isLeft()) {
        refuse(response, undefined, read.swap().unsafeCoerce());
        return;
      }
      const request = read.unsafeCoerce();
      const configuration = view.configuration();
      const routes = view.routes();
      const body = await readBody(message, configuration?.limits.maxBodyBytes ?? maxBufferedBytes);
      if (!Buffer.isBuffer(body)) {
        refuse(response, request, body);
        return;
      }
      if (configuration === undefined || routes === undefined) {
        const failure = Failure.create(
          'store-unavailable',
          'no configuration yet',
          startingRetryAfterMs,
        );
        refuse(response, request, failure);
        return;
      }
      const route = routes.find(request.host, request.url);
      if (route === undefined) {
        refuse(response, request, Failure.create('not-found', 'no route matches'));
        return;
      }
      const account = request.key === undefined ? undefined : routes.accountOf(request.key);
      if (account === undefined && routes.needsKey && !route.anonymous) {
        refuse(response, request, Failure.create('unauthenticated', 'the key is not known'));
        return;
      }
      const target = pickTarget(route.targets, context.random);
      const service = target === undefined ? undefined : configuration.services.get(target.service);
      if (service === undefined) {
        refuse(response, request, Failure.create('no-upstream', 'the route has no service'));
        return;
      }
      if (bufferedBytes + body.length > maxBufferedBytes) {
        refuse(
          response,
          request,
          Failure.create('overloaded', 'memory is full', memoryRetryAfterMs),
        );
        return;
      }
      const leavesInMs = context.leavesInMs();
      if (leavesInMs !== undefined) {
        response.shouldKeepAlive = false;
        if (leavesInMs < options.expectedMs(route)) {
          const failure = Failure.create('leaving', 'this node is stopping', leavingRetryAfterMs);
          refuse(response, request, failure);
          return;
        }
      }
      const call = createCall(request, body, response, route, service, account, arrivedAtMs);
      if (route.kind === 'streaming' && service.engine !== undefined) {
        options.serveStream(call, service.engine);
      } else {
        options.serveCall(call);
      }
    };

    const server = createServer({ keepAliveTimeout: 0 }, (message, response) => {
      response.on('error', (error) => {
        log.decision('caller connection failed', { reason: error.message });
      });
      serve(message, response).catch((error: unknown) => {
        log.decision('request not read', { reason: String(error) });
        response.destroy();
      });
    });
    server.requestTimeout = 0;
    return {
      server,
      configure: ({ limits }) => {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
      },
      openRequests: () => open,
    };
  },
};
