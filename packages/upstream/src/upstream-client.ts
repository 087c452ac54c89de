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
  /** Whether events between the one asked for and the first one given were dropped. */
  readonly lost: boolean;
}

type Answer<Value> = Promise<Either<Failure, Value>>;

/** Client of engines and plain services. */
export interface UpstreamClient {
  readonly generate: (
    address: UpstreamAddress,
    request: EngineGenerationRequest,
    reader: GenerationListener,
  ) => Exchange;
  readonly resume: (
    address: UpstreamAddress,
    generation: GenerationId,
    from: number,
    reader: GenerationListener,
  ) => Exchange;
  readonly cancel: (address: UpstreamAddress, generation: GenerationId) => Answer<undefined>;
  /** The result of a call. An answer to another request is dropped: `outcome-unknown`. */
  readonly call: (
    address: UpstreamAddress,
    call: PlainCall,
    timeoutMs?: Milliseconds,
  ) => Answer<unknown>;
  readonly loadReport: (address: UpstreamAddress) => Answer<LoadReport>;
  readonly cacheEvents: (address: UpstreamAddress, after: number) => Answer<CacheEvents>;
  readonly sendOrder: (address: UpstreamAddress, order: EngineOrder) => Answer<undefined>;
  readonly close: () => Promise<void>;
}

export interface UpstreamTimeouts {
  readonly connectMs: Milliseconds;
  /** Time for the answer of a plain call. */
  readonly callMs: Milliseconds;
  /** Time until the engine takes a request and sends its headers. */
  readonly openMs: Milliseconds;
  /** Silence after which a generation stream counts as stalled. */
  readonly idleMs: Milliseconds;
  /** Time for load reports, cache events and orders. */
  readonly reportMs: Milliseconds;
}

export const defaultUpstreamTimeouts: UpstreamTimeouts = {
  connectMs: 1_000,
  callMs: 30_000,
  openMs: 30_000,
  idleMs: 10_000,
  reportMs: 2_000,
};

const loadReport = z.object({
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

const cacheEvents = z.object({
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

const callAnswer = z.object({ requestId: z.string(), result: z.unknown() });
const nothing = z.unknown().transform(() => undefined);

export const UpstreamClient = {
  create: (timeouts: UpstreamTimeouts = defaultUpstreamTimeouts): UpstreamClient => {
    // One request at a time on a connection: a pipelined request would share the fate of another.
    const agent = new Agent({
      pipelining: 1,
      connect: createConnector(timeouts.connectMs),
      maxHeaderSize: 16 * 1024,
    });
    const report = <Value>(
      address: UpstreamAddress,
      method: 'GET' | 'POST' | 'DELETE',
      path: string,
      schema: z.ZodType<Value>,
      body?: unknown,
      timeoutMs: Milliseconds = timeouts.reportMs,
    ): Answer<Value> =>
      exchangeJson(
        agent,
        address,
        { method, path, body, headersTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs },
        schema,
      );
    const stream = { headersTimeoutMs: timeouts.openMs, idleTimeoutMs: timeouts.idleMs };
    return {
      generate: (address, order, reader) =>
        openGenerationStream(
          agent,
          address,
          { method: 'POST', path: '/generations', body: order, ...stream },
          order.generation,
          reader,
        ),
      resume: (address, generation, from, reader) =>
        openGenerationStream(
          agent,
          address,
          {
            method: 'GET',
            path: `/generations/${encodeURIComponent(generation)}?from=${from}`,
            ...stream,
          },
          generation,
          reader,
        ),
      cancel: (address, generation) =>
        report(address, 'DELETE', `/generations/${encodeURIComponent(generation)}`, nothing),
      call: async (address, call, timeoutMs = timeouts.callMs) => {
        const answer = await report(address, 'POST', '/calls', callAnswer, call, timeoutMs);
        return answer.chain(({ requestId, result }) =>
          requestId === call.requestId
            ? Right(result)
            : Left(
                Failure.create('outcome-unknown', 'the upstream answered another request instead'),
              ),
        );
      },
      loadReport: (address) => report(address, 'GET', '/load', loadReport),
      cacheEvents: (address, after) =>
        report(address, 'GET', `/cache-events?after=${after}`, cacheEvents),
      sendOrder: (address, order) => report(address, 'POST', '/orders', nothing, order),
      close: () => agent.destroy(),
    };
  },
};
