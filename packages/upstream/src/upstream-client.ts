import { Failure } from '@zinniagrade/errors';
import type {
  CacheEvent,
  GenerationId,
  LoadReport,
  Milliseconds,
  ModelId,
  ServiceId,
  VersionId,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { Agent } from 'undici';
import { z } from 'zod';
import { createConnector } from './connector.js';
import type { Exchange, UpstreamAddress } from './exchange.js';
import type { GenerationListener } from './generation-stream.js';
import { openGenerationStream } from './generation-stream.js';
import { exchangeJson } from './json-exchange.js';

/** The body of `POST /generations`. */
export interface EngineGenerationRequest {
  readonly generation: GenerationId;
  readonly service: ServiceId;
  readonly model: ModelId;
  readonly version: VersionId;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly attempt: number;
}

/** The body of `POST /calls`. */
export interface PlainCall {
  readonly requestId: string;
  readonly operation: string;
  readonly arguments: unknown;
}

/** The body of `POST /orders`. */
export interface EngineOrder {
  readonly order: 'load' | 'unload' | 'role';
  readonly model: ModelId;
  readonly version?: VersionId;
  readonly adapter?: string;
  readonly role?: string;
  readonly fencingToken: number;
  readonly credential?: string;
}

export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /** Whether the engine dropped events between `after` and the first event returned. */
  readonly lost: boolean;
}

type Result<Value> = Promise<Either<Failure, Value>>;

/** Client for model engines and plain services. */
export interface UpstreamClient {
  readonly generate: (
    address: UpstreamAddress,
    request: EngineGenerationRequest,
    listener: GenerationListener,
  ) => Exchange;
  readonly resume: (
    address: UpstreamAddress,
    generation: GenerationId,
    from: number,
    listener: GenerationListener,
  ) => Exchange;
  readonly cancel: (address: UpstreamAddress, generation: GenerationId) => Result<undefined>;
  /** Calls a plain service. A response to another request is discarded: `outcome-unknown`. */
  readonly call: (
    address: UpstreamAddress,
    call: PlainCall,
    timeoutMs?: Milliseconds,
  ) => Result<unknown>;
  readonly loadReport: (address: UpstreamAddress) => Result<LoadReport>;
  readonly cacheEvents: (address: UpstreamAddress, after: number) => Result<CacheEvents>;
  readonly sendOrder: (address: UpstreamAddress, order: EngineOrder) => Result<undefined>;
  readonly close: () => Promise<void>;
}

export interface UpstreamTimeouts {
  readonly connectMs: Milliseconds;
  /** Time until the response to a plain call. */
  readonly callMs: Milliseconds;
  /** Time until the engine accepts a generation request and sends the response headers. */
  readonly openMs: Milliseconds;
  /** Time without data after which a generation stream counts as stalled. */
  readonly idleMs: Milliseconds;
  /** Timeout for load reports, cache events, orders and cancellation. */
  readonly reportMs: Milliseconds;
}

export const defaultUpstreamTimeouts: UpstreamTimeouts = {
  connectMs: 1_000,
  callMs: 30_000,
  openMs: 30_000,
  idleMs: 10_000,
  reportMs: 2_000,
};

const loadReportSchema = z.object({
  sequence: z.number(),
  at: z.number(),
  running: z.number(),
  waiting: z.number(),
  memoryTokensUsed: z.number(),
  memoryTokensTotal: z.number(),
  preemptions: z.number(),
  warm: z.boolean(),
  version: z.string(),
});

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(['stored', 'evicted']),
      prefix: z.string(),
    }),
  ),
  lost: z
    .union([z.boolean(), z.number()])
    .optional()
    .transform((lost) => lost === true || (typeof lost === 'number' && lost > 0)),
});

const callResponseSchema = z.object({ requestId: z.string(), result: z.unknown() });
const ignoredResponse = z.unknown().transform(() => undefined);

export const UpstreamClient = {
  create: (timeouts: UpstreamTimeouts = defaultUpstreamTimeouts): UpstreamClient => {
    // No pipelining: if one request broke the connection, the others on it would fail too.
    const agent = new Agent({
      pipelining: 1,
      connect: createConnector(timeouts.connectMs),
      maxHeaderSize: 16 * 1024,
    });
    const requestJson = <Value>(
      address: UpstreamAddress,
      method: 'GET' | 'POST' | 'DELETE',
      path: string,
      schema: z.ZodType<Value>,
      body?: unknown,
      timeoutMs: Milliseconds = timeouts.reportMs,
    ): Result<Value> =>
      exchangeJson(
        agent,
        address,
        { method, path, body, headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs },
        schema,
      );
    const streamTimeouts = { headersTimeoutMs: timeouts.openMs, idleTimeoutMs: timeouts.idleMs };
    return {
      generate: (address, request, listener) =>
        openGenerationStream(
          agent,
          address,
          { method: 'POST', path: '/generations', body: request, ...streamTimeouts },
          request.generation,
          listener,
        ),
      resume: (address, generation, from, listener) =>
        openGenerationStream(
          agent,
          address,
          {
            method: 'GET',
            path: `/generations/${encodeURIComponent(generation)}?from=${from}`,
            ...streamTimeouts,
          },
          generation,
          listener,
        ),
      cancel: (address, generation) =>
        requestJson(
          address,
          'DELETE',
          `/generations/${encodeURIComponent(generation)}`,
          ignoredResponse,
        ),
      call: async (address, call, timeoutMs = timeouts.callMs) => {
        const response = await requestJson(
          address,
          'POST',
          '/calls',
          callResponseSchema,
          call,
          timeoutMs,
        );
        return response.chain(({ requestId, result }) =>
          requestId === call.requestId
            ? Right(result)
            : Left(Failure.create('outcome-unknown', 'the upstream responded to another request')),
        );
      },
      loadReport: (address) => requestJson(address, 'GET', '/load', loadReportSchema),
      cacheEvents: (address, after) =>
        requestJson(address, 'GET', `/cache-events?after=${after}`, cacheEventsSchema),
      sendOrder: (address, order) =>
        requestJson(address, 'POST', '/orders', ignoredResponse, order),
      close: () => agent.destroy(),
    };
  },
};
