import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { MetadataStore, Revision } from './metadata-store.js';
import { MirrorItems } from './mirror-items.js';
import type { RelayedItem, StoreAccess } from './node-message.js';

/** What the mirror is to follow, and what it calls. */
export interface MirrorOptions {
  readonly prefix: string;
  /** Called for each change, in the order of revisions of its key; no value after a removal. */
  readonly onChange: (key: string, value: Buffer | undefined, revision: Revision) => void;
  /** Whether a removal waits until registrations that lapsed with the store can be back. */
  readonly returnsAfterOutage: (key: string) => boolean;
  /** How long such a removal waits, counted from the store's return. */
  readonly registrationReturnMs: number;
  /** Called at an interval while the store doesn't answer this node. */
  readonly whileLost: () => void;
  /** Whether this node follows the store itself, or learns of its changes from other nodes. */
  readonly followsStore: () => boolean;
  /** Called with changes that were new to this node and came from the store. */
  readonly onNew: (changes: readonly RelayedItem[], revision: Revision) => void;
}

/**
 * Follows all keys below a prefix. Load pattern: each change of the store wakes every watch, so only
 * a few nodes watch, and the others are told by them. It keeps the last state while the store can't be reached. */
export interface StoreMirror {
  /** True once the whole state was read, from the store or from another node. */
  readonly isComplete: () => boolean;
  /** Up to where the store's changes are known. */
  readonly revision: () => Revision;
  /** Changes after a revision, for another node. */
  readonly changesAfter: (revision: Revision) => readonly RelayedItem[];
  /** Takes over what another node knows, and returns what was new. */
  readonly takeOver: (items: readonly RelayedItem[], revision: Revision) => readonly RelayedItem[];
  readonly access: () => StoreAccess;
  readonly stop: () => void;
}

/** Bounds the time for which a connection that went silent hides changes. */
const watchWaitMs = 3000;
const firstRetryMs = 100;
const maxRetryMs = 800;
/** Interval at which a node that is told of changes checks whether it still is. */
const feedCheckMs = 100;

export const StoreMirror = {
  create: (store: MetadataStore, clock: Clock, log: Log, options: MirrorOptions): StoreMirror => {
    const known = MirrorItems.create();
    const heldRemovals = new Map<string, Revision>();
    let position: Revision | undefined;
    let knownRevision: Revision = 0;
    let complete = false;
    let stopped = false;
    let lostAtMs: number | undefined;
    let regainedAtMs = -Infinity;
    let retryMs = firstRetryMs;
    let following = false;

    /** False where the value isn't newer than what is known; likewise below. */
    const applyValue = (key: string, value: Buffer, revision: Revision): boolean => {
      heldRemovals.delete(key);
      const isNew = known.set(key, value, revision);
      if (isNew) {
        options.onChange(key, value, revision);
      }
      return isNew;
    };

    const remove = (key: string, revision: Revision): boolean => {
      heldRemovals.delete(key);
      const isNew = known.remove(key, revision);
      if (isNew) {
        options.onChange(key, undefined, revision);
      }
      return isNew;
    };

    const releaseHeld = (): void => {
      const released: RelayedItem[] = [];
      for (const [key, revision] of heldRemovals) {
        log.event('registration lapsed with the store', { key, revision });
        if (remove(key, revision)) {
          released.push({ key, revision });
        }
      }
      options.onNew(released, knownRevision);
    };

    const applyRemoval = (key: string, revision: Revision): boolean => {
      const waitMs = regainedAtMs + options.registrationReturnMs - clock.monotonicMs();
      if (waitMs > 0 && options.returnsAfterOutage(key)) {
        heldRemovals.set(key, revision);
        return false;
      }
      return remove(key, revision);
    };

    /** Returns what was new. */
    const applyAll = (changes: readonly RelayedItem[]): readonly RelayedItem[] =>
      changes.filter(({ key, value, revision }) =>
        value === undefined ? applyRemoval(key, revision) : applyValue(key, value, revision),
      );

    const noteAnswer = (): void => {
      retryMs = firstRetryMs;
      if (lostAtMs === undefined) {
        return;
      }
      regainedAtMs = clock.monotonicMs();
      log.event('store regained', { awayMs: Math.round(regainedAtMs - lostAtMs) });
      lostAtMs = undefined;
      clock.after(options.registrationReturnMs, releaseHeld);
    };

    const noteFailure = async (reason: string): Promise<void> => {
      if (lostAtMs === undefined) {
        lostAtMs = clock.monotonicMs();
        log.event('store lost', { revision: knownRevision, reason });
      }
      options.whileLost();
      await new Promise<void>((resolve) => {
        clock.after(retryMs, resolve);
      });
      retryMs = Math.min(maxRetryMs, retryMs * 2);
    };

    const advance = (revision: Revision): void => {
      position = revision;
      knownRevision = Math.max(knownRevision, revision);
    };

    const listAll = async (): Promise<void> => {
      const listing = await store.list(options.prefix);
      if (listing.isLeft()) {
        await noteFailure(listing.swap().unsafeCoerce().detail);
        return;
      }
      noteAnswer();
      const { items, revision } = listing.unsafeCoerce();
      const present = new Set(items.map(({ key }) => key));
      const removals = known
        .keys()
        .filter((key) => !present.has(key))
        .map((key) => ({ key, revision }));
      const fresh = applyAll([...items, ...removals]);
      advance(revision);
      if (complete) {
        options.onNew(fresh, revision);
      }
      complete = true;
    };

    const follow = async (after: Revision): Promise<void> => {
      const outcome = await store.watch(options.prefix, after, watchWaitMs);
      switch (outcome.outcome) {
        case 'events':
          noteAnswer();
          advance(Math.max(after, outcome.revision));
          options.onNew(applyAll(outcome.events), knownRevision);
          return;
        case 'history-lost':
          noteAnswer();
          log.event('store history lost', { after });
          position = undefined;
          return;
        case 'unavailable':
          await noteFailure(outcome.failure.detail);
      }
    };

    const waitWhileFed = async (): Promise<void> => {
      following = false;
      await new Promise<void>((resolve) => {
        clock.after(feedCheckMs, resolve);
      });
      position = knownRevision;
    };

    const run = async (): Promise<void> => {
      while (!stopped) {
        if (complete && lostAtMs === undefined && !options.followsStore()) {
          await waitWhileFed();
          continue;
        }
        await (position === undefined ? listAll() : follow(position));
        following = lostAtMs === undefined;
      }
    };
    run().catch((error: unknown) => {
      log.event('store mirror failed', { reason: String(error) });
      throw error;
    });

    return {
      isComplete: () => complete,
      revision: () => knownRevision,
      changesAfter: (revision) => known.after(revision),
      takeOver: (items, revision) => {
        const fresh = applyAll(items);
        if (lostAtMs !== undefined && revision > knownRevision) {
          log.event('state taken over from a node', { revision, before: knownRevision });
        }
        knownRevision = Math.max(knownRevision, revision);
        complete ||= revision > 0;
        return fresh;
      },
      access: () => (lostAtMs !== undefined ? 'lost' : following ? 'watching' : 'fed'),
      stop: () => {
        stopped = true;
      },
    };
  },
};
