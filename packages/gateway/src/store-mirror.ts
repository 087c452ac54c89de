import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import { HeldChanges } from './held-changes.js';
import type { LostEntry } from './lost-entries.js';
import { Revision, type MetadataStore } from './metadata-store.js';
import { MirrorItems } from './mirror-items.js';
import type { ChangeSet, RelayedChange, StoreAccess } from './node-message.js';
import type { RestoredEntryDecision } from './restored-entry.js';
import type { StoreOutages } from './store-outages.js';

/** Prefix to mirror, and callbacks. */
export interface MirrorOptions {
  readonly prefix: string;
  /** Called for each change, in revision order per key; an undefined value means a removal. */
  readonly onChange: (key: string, value: Buffer | undefined, revision: Revision) => void;
  /**
   * Whether the removal of a key is delayed after a store outage, so that it can be registered
   * again.
   */
  readonly delaysRemovalAfterOutage: (key: string) => boolean;
  /** Delay of such removals, counted from the end of the outage. */
  readonly reregistrationWindowMs: number;
  readonly outages: Pick<StoreOutages, 'returnedAtMs' | 'recordRestore'>;
  /** Decides on an entry that a restored store has in another state; undefined means no entry. */
  readonly decideRestoredEntry: (
    key: string,
    known: Buffer | undefined,
    restored: Buffer | undefined,
  ) => RestoredEntryDecision;
  /**
   * Time after which the store has removed entries that it brought back from its copy, if nobody
   * renews them.
   */
  readonly restoredEntryLapseMs: number;
  /** Called for an entry that is kept though the restored store has none, or an older one. */
  readonly onEntryLost: (entry: LostEntry) => void;
  /** Called after each failed request to the store. */
  readonly onStoreUnavailable: () => void;
  /** Whether this node watches the store itself; otherwise it gets changes from other nodes. */
  readonly watchesStore: () => boolean;
  /** Called with changes from the store, if any of them were new to this node. */
  readonly onStoreChanges: (changes: ChangeSet) => void;
}

/** Effect of changes that another node sent. */
export interface MergeOutcome {
  /** Whether this node has learned something. */
  readonly isNew: boolean;
  /** Whether changes before these are unknown to this node. */
  readonly hasGap: boolean;
}

/**
 * Mirrors all keys with a prefix. Each change triggers every watch at the store, so only a few
 * nodes watch and send changes to the others. Keeps the last known state while the store is
 * unavailable.
 */
export interface StoreMirror {
  /** True once the complete state was received, from the store or from another node. */
  readonly isComplete: () => boolean;
  /** Revision up to which the store's changes are known. */
  readonly revision: () => Revision;
  /** Changes after a revision, to send to another node; undefined if some are no longer known. */
  readonly changesAfter: (revision: Revision) => ChangeSet | undefined;
  /** Digest of the entries that this node holds. */
  readonly digest: () => number;
  /** Applies changes received from another node. */
  readonly mergeFromNode: (changes: ChangeSet) => MergeOutcome;
  /** Has a node that doesn't watch the store read the changes from it that it has missed. */
  readonly catchUp: () => void;
  /** Reads all entries again, as this node holds others than the store. */
  readonly readAgain: () => void;
  readonly storeAccess: () => StoreAccess;
  /**
   * To be called when a call to the store has failed: a watch that waits is sent again on another
   * connection, as its own may be dead too.
   */
  readonly checkWatch: () => void;
  /** To be called when an outage of the store turns out to have been none. */
  readonly onOutageRuledOut: () => void;
  readonly stop: () => void;
}

/** Bounds the time for which a connection that is dead but not closed delays changes. */
const watchTimeoutMs = 3000;
const initialRetryDelayMs = 100;
const maxRetryDelayMs = 800;
/**
 * After a failure a watch returns at once, as its reply tells whether the store is there, and whether
 * it was restored.
 */
const firstWatchTimeoutMs = 1;
/** Bounds the calls of nodes whose other calls fail again and again, as when the store refuses them. */
const minWatchCheckIntervalMs = 2000;
/** Interval at which a node that doesn't watch the store checks whether it should. */
const relayCheckIntervalMs = 300;

export const StoreMirror = {
  create: (store: MetadataStore, clock: Clock, log: Log, options: MirrorOptions): StoreMirror => {
    const mirrored = MirrorItems.create();
    let watchRevision: Revision | undefined;
    let knownRevision: Revision = 0;
    let complete = false;
    let stopped = false;
    let unavailableSinceMs: number | undefined;
    let retryDelayMs = initialRetryDelayMs;
    let watching = false;
    /** Ends the watch that waits for changes. */
    let waitingWatch: AbortController | undefined;
    let wasInterrupted = false;
    let watchCheckedAtMs = -Infinity;
    /** Whether a node that is fed by others has to read from the store itself. */
    let mustRead = false;
    let mustList = false;

    /** Applies a change; one that can't be applied must not keep out the changes after it. */
    const notify = (key: string, value: Buffer | undefined, revision: Revision): void => {
      try {
        options.onChange(key, value, revision);
      } catch (error) {
        log.event('store change failed', { key, revision, reason: String(error) });
      }
    };

    /**
     * Returns whether the change was newer than the known state, as do `remove` and `applyRemoval`.
     */
    const applyValue = (key: string, value: Buffer, revision: Revision): boolean => {
      const outcome = mirrored.set(key, value, revision);
      if (outcome !== 'old') {
        held.cancel(key);
      }
      if (outcome === 'changed') {
        notify(key, value, revision);
      }
      return outcome !== 'old';
    };

    const remove = (key: string, revision: Revision): boolean => {
      held.cancel(key);
      const isNew = mirrored.remove(key, revision);
      if (isNew) {
        notify(key, undefined, revision);
      }
      return isNew;
    };

    const held = HeldChanges.create(clock, (change) => {
      const { key, value, revision } = change;
      log.event('held store change applied', { key, revision, removed: value === undefined });
      const isNew = value === undefined ? remove(key, revision) : applyValue(key, value, revision);
      if (isNew) {
        options.onStoreChanges({ items: [change], after: knownRevision, revision: knownRevision });
      }
    });

    const applyRemoval = (key: string, revision: Revision): boolean => {
      const { outages, reregistrationWindowMs } = options;
      const returnedAtMs = outages.returnedAtMs();
      const waitMs =
        returnedAtMs === undefined
          ? 0
          : returnedAtMs + reregistrationWindowMs - clock.monotonicMs();
      if (waitMs > 0 && options.delaysRemovalAfterOutage(key)) {
        held.hold({ key, revision }, waitMs, () => outages.returnedAtMs() !== undefined);
        return false;
      }
      return remove(key, revision);
    };

    /** Returns the changes that were new. */
    const applyAll = (changes: readonly RelayedChange[]): readonly RelayedChange[] =>
      changes.filter(({ key, value, revision }) =>
        value === undefined ? applyRemoval(key, revision) : applyValue(key, value, revision),
      );

    const recordAvailable = (): void => {
      retryDelayMs = initialRetryDelayMs;
      if (unavailableSinceMs === undefined) {
        return;
      }
      log.event('store available again', {
        awayMs: Math.round(clock.monotonicMs() - unavailableSinceMs),
      });
      unavailableSinceMs = undefined;
    };

    const backOffUnavailable = async (reason: string): Promise<void> => {
      if (unavailableSinceMs === undefined) {
        unavailableSinceMs = clock.monotonicMs();
        log.event('store unavailable', { revision: knownRevision, reason });
      }
      options.onStoreUnavailable();
      await new Promise<void>((resolve) => {
        clock.after(retryDelayMs, resolve);
      });
      retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
    };

    const advanceTo = (revision: Revision): void => {
      watchRevision = revision;
      knownRevision = Math.max(knownRevision, revision);
    };

    /** Entries of another era than the known one may come from the copy of a restored store. */
    const decideListed = ({ key, value, revision }: RelayedChange): RestoredEntryDecision => {
      const knownRevisionOfKey = mirrored.revisionOf(key);
      const known = mirrored.valueOf(key);
      const isSame = value === undefined ? known === undefined : known?.equals(value) === true;
      const isOtherEra = Revision.eraOf(revision) > Revision.eraOf(knownRevisionOfKey);
      return knownRevisionOfKey === 0 || isSame || !isOtherEra
        ? 'apply'
        : options.decideRestoredEntry(key, known, value);
    };

    /** Returns the listed changes to apply; holds or replaces those that come from an older copy. */
    const settleListed = (changes: readonly RelayedChange[]): readonly RelayedChange[] => {
      const settled: RelayedChange[] = [];
      for (const change of changes) {
        const { key, value, revision } = change;
        const decision = decideListed(change);
        if (decision === 'apply') {
          settled.push(change);
          continue;
        }
        log.event('restored store entry differs', { key, revision, decision });
        const known = mirrored.valueOf(key);
        if (decision === 'keep' && known !== undefined) {
          settled.push({ key, value: known, revision });
          const restoredRevision = value === undefined ? 0 : revision;
          options.onEntryLost({ key, value: known, restoredRevision });
          continue;
        }
        const { reregistrationWindowMs, restoredEntryLapseMs } = options;
        held.hold(change, value === undefined ? reregistrationWindowMs : restoredEntryLapseMs);
      }
      return settled;
    };

    const listAll = async (): Promise<void> => {
      const listing = await store.list(options.prefix);
      if (listing.isLeft()) {
        await backOffUnavailable(listing.swap().unsafeCoerce().detail);
        return;
      }
      recordAvailable();
      const { items, revision } = listing.unsafeCoerce();
      const presentKeys = new Set(items.map(({ key }) => key));
      const removals = mirrored
        .keys()
        .filter((key) => !presentKeys.has(key))
        .map((key) => ({ key, revision }));
      if (complete && Revision.eraOf(revision) > Revision.eraOf(knownRevision)) {
        log.event('store restored', { revision, before: knownRevision });
        options.outages.recordRestore();
      }
      const before = knownRevision;
      const newChanges = applyAll(settleListed([...items, ...removals]));
      advanceTo(revision);
      mustRead = false;
      if (complete && newChanges.length > 0) {
        // What this node had missed may be older than the revision that it knew.
        const later = mirrored.changesAfter(before) ?? [];
        const items = new Map([...newChanges, ...later].map((change) => [change.key, change]));
        options.onStoreChanges({ items: [...items.values()], after: before, revision });
      }
      complete = true;
    };

    const watchFrom = async (after: Revision): Promise<void> => {
      const isFirst = unavailableSinceMs !== undefined || wasInterrupted;
      const waitMs = isFirst || mustRead ? firstWatchTimeoutMs : watchTimeoutMs;
      const aborter = new AbortController();
      waitingWatch = waitMs === watchTimeoutMs ? aborter : undefined;
      const outcome = await store.watch(options.prefix, after, waitMs, aborter.signal);
      waitingWatch = undefined;
      wasInterrupted = aborter.signal.aborted && outcome.outcome === 'unavailable';
      if (wasInterrupted) {
        return;
      }
      switch (outcome.outcome) {
        case 'events': {
          recordAvailable();
          const revision = Math.max(after, outcome.revision);
          advanceTo(revision);
          mustRead = false;
          if (applyAll(outcome.events).length > 0) {
            const items = outcome.events.filter(({ key }) => !held.has(key));
            options.onStoreChanges({ items, after, revision });
          }
          return;
        }
        case 'history-lost':
          recordAvailable();
          log.event('store history lost', { after });
          watchRevision = undefined;
          return;
        case 'unavailable':
          await backOffUnavailable(outcome.failure.detail);
      }
    };

    const waitWhileRelayed = async (): Promise<void> => {
      watching = false;
      await new Promise<void>((resolve) => {
        clock.after(relayCheckIntervalMs, resolve);
      });
      watchRevision = knownRevision;
    };

    const run = async (): Promise<void> => {
      while (!stopped) {
        const isFed = complete && unavailableSinceMs === undefined && !options.watchesStore();
        if (isFed && !mustRead) {
          await waitWhileRelayed();
          continue;
        }
        if (mustList) {
          mustList = false;
          watchRevision = undefined;
        }
        try {
          await (watchRevision === undefined ? listAll() : watchFrom(watchRevision));
        } catch (error) {
          // The state may be incomplete now, so it is read again as a whole.
          watchRevision = undefined;
          await backOffUnavailable(String(error));
        }
        watching = unavailableSinceMs === undefined && options.watchesStore();
      }
    };
    void run();

    return {
      isComplete: () => complete,
      revision: () => knownRevision,
      changesAfter: (revision) => {
        const items = mirrored.changesAfter(revision);
        return items === undefined
          ? undefined
          : { items, after: revision, revision: knownRevision };
      },
      digest: mirrored.digest,
      mergeFromNode: ({ items, after, revision }) => {
        const newChanges = applyAll(items);
        const hasGap = after > knownRevision;
        const isAhead = !hasGap && revision > knownRevision;
        if (isAhead) {
          if (unavailableSinceMs !== undefined) {
            log.event('store state received from another node', {
              revision,
              before: knownRevision,
            });
          }
          knownRevision = revision;
          complete = true;
        }
        return { isNew: newChanges.length > 0 || isAhead, hasGap };
      },
      catchUp: () => {
        mustRead ||= !watching;
      },
      readAgain: () => {
        mustRead ||= !watching;
        mustList = true;
      },
      storeAccess: () =>
        unavailableSinceMs !== undefined ? 'lost' : watching ? 'watching' : 'fed',
      checkWatch: () => {
        const nowMs = clock.monotonicMs();
        if (waitingWatch !== undefined && nowMs - watchCheckedAtMs >= minWatchCheckIntervalMs) {
          watchCheckedAtMs = nowMs;
          waitingWatch.abort();
        }
      },
      onOutageRuledOut: held.recheck,
      stop: () => {
        stopped = true;
      },
    };
  },
};
