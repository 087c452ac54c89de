import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { Counters } from '@zinniagrade/logger';
import type { Milliseconds } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { Pool } from 'undici';
import { z } from 'zod';
import { RateBudget } from './rate-budget.js';
import type { Store, StoredValue, VmList, WeightStore, WriteOutcome } from './store.js';

/** Client of the platform in one process. */
export interface Platform {
  readonly store: Store;
  readonly vms: VmList;
  readonly weights: WeightStore;
  readonly close: () => Promise<void>;
}

export interface PlatformOptions {
  readonly host: string;
  readonly port: number;
  /** Timeout of one call; for a watch, its waiting time is added. */
  readonly timeoutMs?: Milliseconds;
  /** Rate limits of this process, its share of the platform's rates. */
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
}

const defaultTimeoutMs: Milliseconds = 1000;
/**
 * 730 nodes share 300 writes and 2,000 reads a second. The limits are far above the mean share of a
 * node, as a single node may send bursts.
 */
const defaultReadsPerSecond = 100;
const defaultWritesPerSecond = 50;
/** A watch holds a connection while it waits. */
const maxConnections = 16;
const retryAfterMs: Milliseconds = 1000;

/** Error codes of a connection that was never established, so that nothing was sent. */
const connectFailureCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const storedValueSchema = z.object({
  key: z.string(),
  value: z.unknown(),
  revision: z.number().int().positive(),
});
const revisionSchema = z.object({ revision: z.number().int().nonnegative() });
const listSchema = z.object({ entries: z.array(storedValueSchema) });
const leaseSchema = z.object({ leaseId: z.string() });
const vmsSchema = z.object({
  vms: z.array(
    z.object({
      id: z.string(),
      host: z.string(),
      dataCentre: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});
const transferSchema = z.object({ startInMs: z.number(), durationMs: z.number() });

const status = { ok: 200, created: 201, noContent: 204, notModified: 304, notFound: 404 } as const;
const conflictStatus = 409;
const tooManyRequestsStatus = 429;
const minServerErrorStatus = 500;

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** `mayHaveTakenEffect` is false only if the platform has certainly not processed the call. */
interface CallFailure {
  readonly mayHaveTakenEffect: boolean;
  readonly failure: Failure;
}

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

interface Call {
  readonly method: Method;
  readonly path: string;
  readonly body?: unknown;
  readonly budget: RateBudget;
  readonly waitMs?: Milliseconds;
}

const errorCode = (error: unknown): string =>
  typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';

const storeUnavailable = (detail: string): Failure =>
  Failure.create('store-unavailable', detail, retryAfterMs);

/** Encodes a key for a path; slashes are kept. */
const encodeKey = (key: string): string => key.split('/').map(encodeURIComponent).join('/');

const parseReply = <T>(schema: z.ZodType<T>, reply: Reply): Either<Failure, T> => {
  const result = schema.safeParse(reply.body);
  return result.success
    ? Right(result.data)
    : Left(
        storeUnavailable(`platform reply with status ${reply.status} does not match its schema`),
      );
};

type CallSender = (call: Call) => Promise<Either<CallFailure, Reply>>;

const createCallSender = (
  pool: Pool,
  timeoutMs: Milliseconds,
  counters: Counters | undefined,
): CallSender => {
  const callFailure = (mayHaveTakenEffect: boolean, detail: string): Either<CallFailure, Reply> => {
    counters?.increment('platform-failures');
    return Left({ mayHaveTakenEffect, failure: storeUnavailable(detail) });
  };
  return async ({ method, path, body, budget, waitMs = 0 }) => {
    if (!budget.tryTake()) {
      return callFailure(
        false,
        `${method} not sent to the platform: rate budget of this process used up`,
      );
    }
    counters?.increment('platform-calls', 1, { method });
    try {
      const response = await pool.request({
        method,
        path,
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
        signal: AbortSignal.timeout(timeoutMs + waitMs),
      });
      const text = await response.body.text();
      if (response.statusCode === tooManyRequestsStatus) {
        return callFailure(false, 'platform rate limit exceeded');
      }
      return Right({
        status: response.statusCode,
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      });
    } catch (error) {
      return callFailure(
        !connectFailureCodes.has(errorCode(error)),
        `call to the platform failed: ${String(error)}`,
      );
    }
  };
};

/** Outcome of a conditional write, from its reply. */
const writeOutcome = (reply: Either<CallFailure, Reply>): WriteOutcome =>
  reply.caseOf<WriteOutcome>({
    Left: ({ mayHaveTakenEffect, failure }) => ({
      outcome: mayHaveTakenEffect ? 'unknown' : 'not-sent',
      failure,
    }),
    Right: (httpReply) => {
      const revision = parseReply(revisionSchema, httpReply).map((body) => body.revision);
      if (httpReply.status === status.notFound) {
        return { outcome: 'lost-race', revision: 0 };
      }
      if (httpReply.status === status.ok || httpReply.status === status.created) {
        return revision.caseOf<WriteOutcome>({
          Left: (failure) => ({ outcome: 'unknown', failure }),
          Right: (value) => ({ outcome: 'done', revision: value }),
        });
      }
      if (httpReply.status === conflictStatus) {
        return { outcome: 'lost-race', revision: revision.orDefault(0) };
      }
      const failure = storeUnavailable(
        `platform replied to a write with status ${httpReply.status}`,
      );
      return {
        outcome: httpReply.status >= minServerErrorStatus ? 'unknown' : 'not-sent',
        failure,
      };
    },
  });

const isOk = (reply: Reply): boolean => reply.status >= 200 && reply.status < 300;

const createStore = (call: CallSender, reads: RateBudget, writes: RateBudget): Store => {
  const read = async <T>(
    path: string,
    parse: (reply: Reply) => Either<Failure, T>,
    waitMs = 0,
  ): Promise<Either<Failure, T>> =>
    (await call({ method: 'GET', path, budget: reads, waitMs }))
      .mapLeft(({ failure }) => failure)
      .chain((reply) =>
        isOk(reply) || reply.status === status.notFound || reply.status === status.notModified
          ? parse(reply)
          : Left(storeUnavailable(`platform replied to a read with status ${reply.status}`)),
      );

  const updateLease = async (method: Method, path: string): Promise<Either<Failure, boolean>> =>
    (await call({ method, path, budget: writes }))
      .mapLeft(({ failure }) => failure)
      .chain((reply) =>
        isOk(reply) || reply.status === status.notFound
          ? Right(reply.status !== status.notFound)
          : Left(storeUnavailable(`platform replied to a lease call with status ${reply.status}`)),
      );

  return {
    get: (key) =>
      read(`/kv/${encodeKey(key)}`, (reply) =>
        reply.status === status.notFound ? Right(undefined) : parseReply(storedValueSchema, reply),
      ),
    put: async (key, value, ifRevision, leaseId) =>
      writeOutcome(
        await call({
          method: 'PUT',
          path: `/kv/${encodeKey(key)}`,
          body: leaseId === undefined ? { value, ifRevision } : { value, ifRevision, leaseId },
          budget: writes,
        }),
      ),
    delete: async (key, ifRevision) =>
      writeOutcome(
        await call({
          method: 'DELETE',
          path: `/kv/${encodeKey(key)}?ifRevision=${ifRevision}`,
          budget: writes,
        }),
      ),
    list: (prefix) =>
      read(`/kv?prefix=${encodeURIComponent(prefix)}`, (reply) =>
        parseReply(listSchema, reply).map(({ entries }) => entries),
      ),
    watch: (key, after, waitMs) =>
      read(
        `/watch/${encodeKey(key)}?after=${after}&waitMs=${waitMs}`,
        (reply): Either<Failure, StoredValue | undefined> =>
          reply.body === undefined || reply.status !== status.ok
            ? Right(undefined)
            : parseReply(storedValueSchema, reply).map((found) =>
                found.revision > after ? found : undefined,
              ),
        waitMs,
      ),
    grantLease: async (ttlMs) =>
      (await call({ method: 'POST', path: '/leases', body: { ttlMs }, budget: writes }))
        .mapLeft(({ failure }) => failure)
        .chain((reply) => parseReply(leaseSchema, reply).map(({ leaseId }) => leaseId)),
    renewLease: (leaseId) => updateLease('POST', `/leases/${encodeURIComponent(leaseId)}/renew`),
    revokeLease: (leaseId) => updateLease('DELETE', `/leases/${encodeURIComponent(leaseId)}`),
  };
};

export const Platform = {
  /** Connects at the first call. */
  create: (options: PlatformOptions, clock: Clock, counters?: Counters): Platform => {
    const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const pool = new Pool(`http://${options.host}:${options.port}`, {
      connections: maxConnections,
      connect: { timeout: timeoutMs },
    });
    const reads = RateBudget.create(clock, options.readsPerSecond ?? defaultReadsPerSecond);
    const writes = RateBudget.create(clock, options.writesPerSecond ?? defaultWritesPerSecond);
    const call = createCallSender(pool, timeoutMs, counters);
    return {
      store: createStore(call, reads, writes),
      vms: {
        list: async () =>
          (await call({ method: 'GET', path: '/vms', budget: reads }))
            .mapLeft(({ failure }) => failure)
            .chain((reply) => parseReply(vmsSchema, reply).map(({ vms }) => vms)),
      },
      weights: {
        reserve: async (model, version) =>
          (
            await call({
              method: 'POST',
              path: `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`,
              budget: writes,
            })
          )
            .mapLeft(({ failure }) => failure)
            .chain((reply) => parseReply(transferSchema, reply)),
      },
      close: () => pool.destroy(),
    };
  },
};
