import type { Clock, Random } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { Milliseconds } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import type { LeaseId, Store, StoredValue, WriteOutcome } from './store.js';

const callTimeoutMs = 1000;

export interface FakeStoreUsage {
  readonly reads: number;
  readonly writes: number;
  readonly openWatches: number;
  readonly maxOpenWatches: number;
}

/** Faults that a test injects. Shares are probabilities per write. */
export interface StoreFaults {
  outage: boolean;
  /** Round-trip time of a call. */
  latencyMs: Milliseconds;
  /** Share of writes that take effect and whose reply is lost. */
  lostReplyShare: number;
  /** Share of writes that take effect `lateWriteMs` after the call has timed out. */
  lateWriteShare: number;
  lateWriteMs: Milliseconds;
}

/** An in-memory key-value store, on any clock, for tests and measurements. */
export interface FakeStore {
  /** The store for one client; each client can be disconnected separately. */
  readonly client: (name?: string) => Store;
  readonly setDisconnected: (name: string, isDisconnected: boolean) => void;
  readonly faults: StoreFaults;
  readonly usage: () => FakeStoreUsage;
  /** Reads a key directly, without latency, faults or effect on the usage counts. */
  readonly peek: (key: string) => StoredValue | undefined;
}

interface Entry extends StoredValue {
  readonly leaseId?: LeaseId;
}

const storeUnavailable = (detail: string): Failure => Failure.create('store-unavailable', detail);

interface StoreState {
  readonly entries: Map<string, Entry>;
  readonly leases: Map<LeaseId, { ttlMs: Milliseconds; endsAt: Milliseconds }>;
  readonly watchers: Map<string, Set<() => void>>;
  revision: number;
}

/** Writes without latency or faults. The value `undefined` deletes the key. */
const apply = (
  state: StoreState,
  key: string,
  value: unknown,
  ifRevision: number,
  leaseId?: LeaseId,
): WriteOutcome => {
  const currentRevision = state.entries.get(key)?.revision ?? 0;
  if (currentRevision !== ifRevision) {
    return { outcome: 'lost-race', revision: currentRevision };
  }
  state.revision += 1;
  if (value === undefined) {
    state.entries.delete(key);
  } else {
    const entry = { key, value: structuredClone(value), revision: state.revision };
    state.entries.set(key, leaseId === undefined ? entry : { ...entry, leaseId });
  }
  for (const notifyWatcher of [...(state.watchers.get(key) ?? [])]) {
    notifyWatcher();
  }
  return { outcome: 'done', revision: state.revision };
};

const expireLeases = (state: StoreState, now: Milliseconds): void => {
  for (const [leaseId, { endsAt }] of state.leases) {
    if (endsAt > now) {
      continue;
    }
    state.leases.delete(leaseId);
    for (const entry of [...state.entries.values()]) {
      if (entry.leaseId === leaseId) {
        apply(state, entry.key, undefined, entry.revision);
      }
    }
  }
};

const toStoredValue = ({ key, value, revision }: Entry): StoredValue => ({
  key,
  value: structuredClone(value),
  revision,
});

export const FakeStore = {
  create: (clock: Clock, random: Random): FakeStore => {
    const state: StoreState = {
      entries: new Map(),
      leases: new Map(),
      watchers: new Map(),
      revision: 0,
    };
    const disconnectedClients = new Set<string>();
    const usage = { reads: 0, writes: 0, openWatches: 0, maxOpenWatches: 0 };
    const faults: StoreFaults = {
      outage: false,
      latencyMs: 2,
      lostReplyShare: 0,
      lateWriteShare: 0,
      lateWriteMs: 1500,
    };
    let leasesGranted = 0;

    const sleep = (ms: Milliseconds): Promise<void> =>
      new Promise((resolve) => {
        clock.after(ms, resolve);
      });
    const isUnreachable = (name: string): boolean => faults.outage || disconnectedClients.has(name);

    const read = async <T>(name: string, query: () => T): Promise<Either<Failure, T>> => {
      usage.reads += 1;
      await sleep(Math.min(faults.latencyMs / 2, callTimeoutMs));
      if (isUnreachable(name) || faults.latencyMs > callTimeoutMs) {
        await sleep(callTimeoutMs - Math.min(faults.latencyMs / 2, callTimeoutMs));
        return Left(storeUnavailable('store did not answer in time'));
      }
      expireLeases(state, clock.monotonicMs());
      const result = query();
      await sleep(faults.latencyMs / 2);
      return isUnreachable(name)
        ? Left(storeUnavailable('reply of the store lost'))
        : Right(result);
    };

    const write = async (name: string, applyWrite: () => WriteOutcome): Promise<WriteOutcome> => {
      usage.writes += 1;
      await sleep(Math.min(faults.latencyMs / 2, callTimeoutMs));
      const unknownOutcome: WriteOutcome = {
        outcome: 'unknown',
        failure: storeUnavailable('no reply of the store to a write'),
      };
      if (isUnreachable(name)) {
        await sleep(callTimeoutMs - Math.min(faults.latencyMs / 2, callTimeoutMs));
        return unknownOutcome;
      }
      expireLeases(state, clock.monotonicMs());
      const sample = random();
      if (sample < faults.lateWriteShare) {
        clock.after(callTimeoutMs + faults.lateWriteMs, applyWrite);
        await sleep(callTimeoutMs);
        return unknownOutcome;
      }
      const outcome = applyWrite();
      const isReplyLost = sample < faults.lateWriteShare + faults.lostReplyShare;
      await sleep(isReplyLost ? callTimeoutMs : Math.min(faults.latencyMs / 2, callTimeoutMs));
      return isReplyLost || isUnreachable(name) || faults.latencyMs > callTimeoutMs
        ? unknownOutcome
        : outcome;
    };

    const waitForChange = (key: string, waitMs: Milliseconds): Promise<void> =>
      new Promise((resolve) => {
        const watchers = state.watchers.get(key) ?? new Set<() => void>();
        state.watchers.set(key, watchers);
        const finish = (): void => {
          cancel();
          watchers.delete(finish);
          resolve();
        };
        const cancel = clock.after(waitMs, finish);
        watchers.add(finish);
      });

    const watch: (name: string) => Store['watch'] = (name) => async (key, after, waitMs) => {
      usage.openWatches += 1;
      usage.maxOpenWatches = Math.max(usage.maxOpenWatches, usage.openWatches);
      const hasChanged = () => (state.entries.get(key)?.revision ?? 0) > after;
      if (!isUnreachable(name) && !hasChanged()) {
        await waitForChange(key, waitMs);
      }
      const result = await read(name, () => {
        const entry = state.entries.get(key);
        return entry !== undefined && entry.revision > after ? toStoredValue(entry) : undefined;
      });
      usage.openWatches -= 1;
      return result;
    };

    const client = (name = ''): Store => ({
      get: (key) =>
        read(name, () => {
          const entry = state.entries.get(key);
          return entry === undefined ? undefined : toStoredValue(entry);
        }),
      put: (key, value, ifRevision, leaseId) =>
        write(name, () =>
          leaseId !== undefined && !state.leases.has(leaseId)
            ? { outcome: 'not-sent', failure: storeUnavailable(`lease ${leaseId} has expired`) }
            : apply(state, key, value, ifRevision, leaseId),
        ),
      delete: (key, ifRevision) => write(name, () => apply(state, key, undefined, ifRevision)),
      list: (prefix) =>
        read(name, () =>
          [...state.entries.values()]
            .filter(({ key }) => key.startsWith(prefix))
            .map(toStoredValue),
        ),
      watch: watch(name),
      grantLease: (ttlMs) =>
        read(name, () => {
          leasesGranted += 1;
          const leaseId = `lease-${leasesGranted}`;
          state.leases.set(leaseId, { ttlMs, endsAt: clock.monotonicMs() + ttlMs });
          return leaseId;
        }),
      renewLease: (leaseId) =>
        read(name, () => {
          const lease = state.leases.get(leaseId);
          if (lease !== undefined) {
            lease.endsAt = clock.monotonicMs() + lease.ttlMs;
          }
          return lease !== undefined;
        }),
      revokeLease: (leaseId) =>
        read(name, () => {
          const lease = state.leases.get(leaseId);
          if (lease !== undefined) {
            lease.endsAt = clock.monotonicMs();
            expireLeases(state, clock.monotonicMs());
          }
          return lease !== undefined;
        }),
    });

    return {
      client,
      setDisconnected: (name, isDisconnected) => {
        if (isDisconnected) {
          disconnectedClients.add(name);
        } else {
          disconnectedClients.delete(name);
        }
      },
      faults,
      usage: () => ({ ...usage }),
      peek: (key) => {
        const entry = state.entries.get(key);
        return entry === undefined ? undefined : toStoredValue(entry);
      },
    };
  },
};
