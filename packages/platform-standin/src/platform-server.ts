import type { Cancel, Clock } from '@zinniagrade/clock';
import type { JsonAnswer, JsonHandler, JsonRequest } from '@zinniagrade/service-standin';
import { JsonServer, checkBody } from '@zinniagrade/service-standin';
import type { Milliseconds } from '@zinniagrade/types';
import type { Entry, WriteOutcome } from './key-value-store.js';
import { KeyValueStore } from './key-value-store.js';
import type { PlatformStandInSettings } from './settings.js';
import { faultsSchema, leaseSchema, putSchema, vmsSchema } from './settings.js';

const maxValueBytes = 1_000_000;
const leaseCheckIntervalMs = 50;

const notFoundAnswer: JsonAnswer = { status: 404, body: { error: 'not found' } };

const writeAnswer = (outcome: WriteOutcome): JsonAnswer =>
  outcome.kind === 'no-lease'
    ? { status: 410, body: { error: 'lease expired or unknown' } }
    : { status: outcome.kind === 'written' ? 200 : 409, body: { revision: outcome.revision } };

const entryAnswer = (entry: Entry | undefined): JsonAnswer =>
  entry === undefined
    ? notFoundAnswer
    : { status: 200, body: { key: entry.key, value: entry.value, revision: entry.revision } };

type WatchListener = (key: string, entry: Entry | undefined) => void;

/** One handler for each first path segment. */
const createRoutes = (settings: PlatformStandInSettings, clock: Clock) => {
  const now = clock.monotonicMs;
  const watchListeners = new Set<WatchListener>();
  const store = KeyValueStore.create((key, entry) => {
    for (const notify of [...watchListeners]) {
      notify(key, entry);
    }
  });
  const transferSlotEndsAt = Array.from({ length: settings.weightTransfersAtOnce }, () => 0);
  let vmListHistory = [{ changedAt: -Infinity, vms: settings.vms }];

  const kv = ({ method, path, query, body }: JsonRequest): JsonAnswer => {
    const key = path.slice(1).join('/');
    if (method === 'GET') {
      return key === ''
        ? { status: 200, body: { entries: store.list(query.get('prefix') ?? '') } }
        : entryAnswer(store.get(key));
    }
    if (method === 'DELETE') {
      const ifRevision = query.get('ifRevision');
      return writeAnswer(store.remove(key, ifRevision === null ? undefined : Number(ifRevision)));
    }
    return checkBody(putSchema, body, (write) =>
      JSON.stringify(write.value ?? null).length > maxValueBytes
        ? { status: 413, body: { error: `value too large: the limit is ${maxValueBytes} bytes` } }
        : writeAnswer(store.put({ key, ...write })),
    );
  };

  /** Answers once the key has changed after the given revision, or with 204 after `waitMs`. */
  const watch = ({ path, query, response }: JsonRequest): Promise<JsonAnswer> => {
    const key = path.slice(1).join('/');
    const afterRevision = Number(query.get('after') ?? 0);
    return new Promise((resolve) => {
      let cancelTimer: Cancel = () => undefined;
      const finish = (answer: JsonAnswer): void => {
        watchListeners.delete(onChange);
        cancelTimer();
        resolve(answer);
      };
      const onChange: WatchListener = (changedKey, entry) => {
        if (changedKey === key && store.lastChangeRevision(key) > afterRevision) {
          finish(entryAnswer(entry));
        }
      };
      watchListeners.add(onChange);
      response.on('close', () => {
        finish(undefined);
      });
      cancelTimer = clock.after(Number(query.get('waitMs') ?? 0), () => {
        finish({ status: 204 });
      });
      onChange(key, store.get(key));
    });
  };

  const leases = ({ method, path: [, leaseId], body }: JsonRequest): JsonAnswer => {
    if (leaseId === undefined) {
      return checkBody(leaseSchema, body, ({ ttlMs }) => ({
        status: 200,
        body: { leaseId: store.createLease(ttlMs, now()) },
      }));
    }
    if (method === 'DELETE') {
      store.deleteLease(leaseId);
      return { status: 200, body: {} };
    }
    return store.renewLease(leaseId, now()) ? { status: 200, body: { leaseId } } : notFoundAnswer;
  };

  const vms = ({ method, body }: JsonRequest): JsonAnswer => {
    if (method === 'POST') {
      return checkBody(vmsSchema, body, (list) => {
        vmListHistory = [...vmListHistory, { changedAt: now(), vms: list.vms }];
        return { status: 200, body: {} };
      });
    }
    const visibleList = vmListHistory.findLast(
      ({ changedAt }) => changedAt <= now() - settings.vmListLagMs,
    );
    return { status: 200, body: { vms: visibleList?.vms ?? [] } };
  };

  const weights = (): JsonAnswer => {
    const startAt = Math.max(now(), Math.min(...transferSlotEndsAt));
    const startInMs: Milliseconds = startAt - now();
    if (startInMs > settings.weightWaitMaxMs) {
      return { status: 429, body: { error: 'too many weight transfers', retryAfterMs: startInMs } };
    }
    const freeSlot = transferSlotEndsAt.indexOf(Math.min(...transferSlotEndsAt));
    transferSlotEndsAt[freeSlot] = startAt + settings.weightTransferMs;
    return { status: 200, body: { startInMs, durationMs: settings.weightTransferMs } };
  };

  const expire = (): void => {
    store.expire(now());
  };
  const handlers: Readonly<Record<string, JsonHandler>> = { kv, watch, leases, vms, weights };
  return { handlers, expire, openWatches: () => watchListeners.size };
};

/**
 * The platform: key-value store, VM list and weight store over HTTP. Only for tests: `POST /faults`
 * and `GET /counters`, which are exempt from the rate limits, and `POST /vms`, which replaces the
 * VM list.
 */
export const PlatformStandIn = {
  create: async (settings: PlatformStandInSettings, clock: Clock): Promise<JsonServer> => {
    const routes = createRoutes(settings, clock);
    const totals = { reads: 0, writes: 0, refused: 0 };
    let callsThisSecond = { reads: 0, writes: 0 };
    let faults = faultsSchema.parse({});

    const updateFaults = (body: unknown): JsonAnswer =>
      checkBody(faultsSchema, { ...faults, ...(body as object | undefined) }, (newFaults) => {
        faults = newFaults;
        return { status: 200, body: faults };
      });

    /** Counts a call; true if it exceeds the rate limit of this second. */
    const isRateExceeded = (kind: 'reads' | 'writes'): boolean => {
      callsThisSecond[kind] += 1;
      const isOver = callsThisSecond[kind] > settings[`${kind}PerSecond`];
      totals[isOver ? 'refused' : kind] += 1;
      return isOver;
    };

    /** True if the reply to this write must be lost; counts down `loseReplies`. */
    const shouldLoseReply = ({ method, path }: JsonRequest): boolean => {
      const isAffected = path.slice(1).join('/').startsWith(faults.loseRepliesPrefix);
      if (method === 'GET' || faults.loseReplies === 0 || !isAffected) {
        return false;
      }
      faults = { ...faults, loseReplies: faults.loseReplies - 1 };
      return true;
    };

    const isOutageActive = (): boolean => faults.outage !== 'none';
    /** Leaves the connection open without an answer during `hang`, closes it otherwise. */
    const withholdAnswer = ({ response }: JsonRequest): JsonAnswer => {
      if (faults.outage !== 'hang') {
        response.destroy();
      }
      return undefined;
    };

    const handleRequest = async (request: JsonRequest): Promise<JsonAnswer> => {
      const [resource] = request.path;
      if (resource === 'faults') {
        return updateFaults(request.body);
      }
      if (resource === 'counters') {
        return { status: 200, body: { ...totals, openWatches: routes.openWatches() } };
      }
      if (isOutageActive()) {
        return withholdAnswer(request);
      }
      if (isRateExceeded(request.method === 'GET' ? 'reads' : 'writes')) {
        return { status: 429, body: { error: 'rate limit exceeded', retryAfterMs: 100 } };
      }
      if (faults.slowMs > 0) {
        await new Promise<void>((resolve) => clock.after(faults.slowMs, resolve));
      }
      routes.expire();
      const route = routes.handlers[resource ?? ''];
      const answer = route === undefined ? notFoundAnswer : await route(request);
      return isOutageActive() || shouldLoseReply(request) ? withholdAnswer(request) : answer;
    };

    const cancelRateReset = clock.every(1000, () => {
      // An open watch counts as one read per second.
      callsThisSecond = { reads: routes.openWatches(), writes: 0 };
    });
    const cancelExpiry = clock.every(leaseCheckIntervalMs, routes.expire);
    const server = await JsonServer.create(settings.host, settings.port, handleRequest);
    return {
      port: server.port,
      close: () => {
        cancelRateReset();
        cancelExpiry();
        return server.close();
      },
    };
  },
};
