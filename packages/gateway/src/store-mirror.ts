import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { MetadataStore, Revision } from './metadata-store.js';
import { MirrorItems } from './mirror-items.js';
import type { RelayedItem } from './node-message.js';

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
}

/** Follows all keys below a prefix. It keeps the last state while the store can't be reached. */
export interface StoreMirror {
  /** True once the whole state was read, from the store or from another node. */
  readonly isComplete: () => boolean;
  /** Up to where the store's changes are known. */
  readonly revision: () => Revision;
  /** Changes after a revision, for another node. */
  readonly changesAfter: (revision: Revision) => readonly RelayedItem[];
  /** Takes over what another node knows. */
  readonly takeOver: (items: readonly RelayedItem[], revision: Revision) => void;
  readonly stop: () => void;
}

/** Bounds the time for which a connection that went silent hides changes. */
const watchWaitMs = 3000;
const firstRetryMs = 100;
const maxRetryMs = 800;

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

    const applyValue = (key: string, value: Buffer, revision: Revision): void => {
      heldRemovals.delete(key);
      if (known.set(key, value, revision)) {
        options.onChange(key, value, revision);
      }
    };

    const remove = (key: string, revision: Revision): void => {
      heldRemovals.delete(key);
      if (known.remove(key, revision)) {
        options.onChange(key, undefined, revision);
      }
    };

    const releaseHeld = (): void => {
      for (const [key, revision] of heldRemovals) {
        log.event('registration lapsed with the store', { key, revision });
        remove(key, revision);
      }
    };

    const applyRemoval = (key: string, revision: Revision): void => {
      const waitMs = regainedAtMs + options.registrationReturnMs - clock.monotonicMs();
      if (waitMs > 0 && options.returnsAfterOutage(key)) {
        heldRemovals.set(key, revision);
        return;
      }
      remove(key, revision);
    };

    const applyAll = (changes: readonly RelayedItem[]): void => {
      for (const { key, value, revision } of changes) {
        if (value === undefined) {
          applyRemoval(key, revision);
        } else {
          applyValue(key, value, revision);
        }
      }
    };

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
      applyAll(items);
      for (const key of known.keys()) {
        if (!present.has(key)) {
          applyRemoval(key, revision);
        }
      }
      advance(revision);
      complete = true;
    };

    const follow = async (after: Revision): Promise<void> => {
      const outcome = await store.watch(options.prefix, after, watchWaitMs);
      switch (outcome.outcome) {
        case 'events':
          noteAnswer();
          applyAll(outcome.events);
          advance(Math.max(after, outcome.revision));
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

    const run = async (): Promise<void> => {
      while (!stopped) {
        await (position === undefined ? listAll() : follow(position));
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
        applyAll(items);
        if (revision > knownRevision) {
          log.event('state taken over from a node', { revision, before: knownRevision });
          knownRevision = revision;
        }
        complete ||= revision > 0;
      },
      stop: () => {
        stopped = true;
      },
    };
  },
};
