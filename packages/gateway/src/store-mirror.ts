import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { MetadataStore, Revision } from './metadata-store.js';

/** What the mirror is to follow, and what it calls. */
export interface MirrorOptions {
  readonly prefix: string;
  readonly onValue: (key: string, value: Buffer, revision: Revision) => void;
  readonly onRemoval: (key: string, revision: Revision) => void;
  /** Whether a removal waits until registrations that lapsed with the store can be back. */
  readonly returnsAfterOutage: (key: string) => boolean;
  /** How long such a removal waits, counted from the store's return. */
  readonly registrationReturnMs: number;
}

/** Follows all keys below a prefix. It keeps the last state while the store can't be reached. */
export interface StoreMirror {
  /** True after the first complete listing. */
  readonly isComplete: () => boolean;
  /** When the store last answered, on the steady clock. */
  readonly confirmedAtMs: () => number;
  readonly stop: () => void;
}

/** Bounds the time for which a connection that went silent hides changes. */
const watchWaitMs = 1500;
const firstRetryMs = 100;
const maxRetryMs = 800;

export const StoreMirror = {
  create: (
    store: MetadataStore,
    clock: Clock,
    log: Log,
    options: MirrorOptions,
  ): StoreMirror => {
    const revisions = new Map<string, Revision>();
    const heldRemovals = new Map<string, Revision>();
    let position: Revision | undefined;
    let complete = false;
    let stopped = false;
    let confirmedAtMs = 0;
    let lostAtMs: number | undefined;
    let regainedAtMs = -Infinity;
    let retryMs = firstRetryMs;

    const applyValue = (key: string, value: Buffer, revision: Revision): void => {
      heldRemovals.delete(key);
      if (revision <= (revisions.get(key) ?? 0)) {
        return;
      }
      revisions.set(key, revision);
      options.onValue(key, value, revision);
    };

    const remove = (key: string, revision: Revision): void => {
      revisions.delete(key);
      heldRemovals.delete(key);
      options.onRemoval(key, revision);
    };

    const releaseHeld = (): void => {
      for (const [key, revision] of heldRemovals) {
        log.event('registration lapsed with the store', { key, revision });
        remove(key, revision);
      }
    };

    const applyRemoval = (key: string, revision: Revision): void => {
      if (!revisions.has(key)) {
        return;
      }
      const waitMs = regainedAtMs + options.registrationReturnMs - clock.monotonicMs();
      if (waitMs > 0 && options.returnsAfterOutage(key)) {
        heldRemovals.set(key, revision);
        return;
      }
      remove(key, revision);
    };

    const noteAnswer = (): void => {
      confirmedAtMs = clock.monotonicMs();
      retryMs = firstRetryMs;
      if (lostAtMs === undefined) {
        return;
      }
      regainedAtMs = confirmedAtMs;
      log.event('store regained', {
        prefix: options.prefix,
        awayMs: Math.round(regainedAtMs - lostAtMs),
      });
      lostAtMs = undefined;
      clock.after(options.registrationReturnMs, releaseHeld);
    };

    const noteFailure = (reason: string): void => {
      if (lostAtMs === undefined) {
        lostAtMs = clock.monotonicMs();
        log.event('store lost', { prefix: options.prefix, reason });
      }
    };

    const pause = (ms: number): Promise<void> =>
      new Promise((resolve) => {
        clock.after(ms, resolve);
      });

    const backOff = async (): Promise<void> => {
      await pause(retryMs);
      retryMs = Math.min(maxRetryMs, retryMs * 2);
    };

    const listAll = async (): Promise<void> => {
      const listing = await store.list(options.prefix);
      if (listing.isLeft()) {
        noteFailure(listing.swap().map(({ detail }) => detail).orDefault(''));
        await backOff();
        return;
      }
      noteAnswer();
      const { items, revision } = listing.unsafeCoerce();
      const present = new Set<string>();
      for (const item of items) {
        present.add(item.key);
        applyValue(item.key, item.value, item.revision);
      }
      for (const key of [...revisions.keys()]) {
        if (!present.has(key)) {
          applyRemoval(key, revision);
        }
      }
      position = revision;
      complete = true;
    };

    const follow = async (after: Revision): Promise<void> => {
      const outcome = await store.watch(options.prefix, after, watchWaitMs);
      switch (outcome.outcome) {
        case 'events':
          noteAnswer();
          for (const event of outcome.events) {
            if (event.value === undefined) {
              applyRemoval(event.key, event.revision);
            } else {
              applyValue(event.key, event.value, event.revision);
            }
          }
          position = Math.max(after, outcome.revision);
          return;
        case 'history-lost':
          noteAnswer();
          log.event('store history lost', { prefix: options.prefix, after });
          position = undefined;
          return;
        case 'unavailable':
          noteFailure(outcome.failure.detail);
          await backOff();
      }
    };

    const run = async (): Promise<void> => {
      while (!stopped) {
        await (position === undefined ? listAll() : follow(position));
      }
    };
    run().catch((error: unknown) => {
      log.event('store mirror failed', { prefix: options.prefix, reason: String(error) });
      throw error;
    });

    return {
      isComplete: () => complete,
      confirmedAtMs: () => confirmedAtMs,
      stop: () => {
        stopped = true;
      },
    };
  },
};
