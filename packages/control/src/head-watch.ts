import type { Clock } from '@zinniagrade/clock';
import {
  type ReplicaEvent,
  headKey,
  readConfiguration,
  parseHead,
} from '@zinniagrade/configuration';
import type { Counters } from '@zinniagrade/logger';
import type { Store } from '@zinniagrade/platform';
import type { Milliseconds } from '@zinniagrade/types';

/**
 * With this wait, a watch confirms the head twice a second, and neighbours learn of it with up to
 * 2 s to spare.
 */
const watchWaitMs: Milliseconds = 500;
const retryPauseMs: Milliseconds = 250;

/** Reads the configuration and watches its head in the store. */
export interface HeadWatch {
  /** Reads the whole configuration, unless a read is already in progress. */
  readonly readAll: () => Promise<void>;
  readonly close: () => void;
}

export const HeadWatch = {
  /** Watches the head while `isWatcher` returns true, and reports each result. */
  create: (
    store: Store,
    clock: Clock,
    counters: Counters,
    isWatcher: () => boolean,
    report: (event: ReplicaEvent) => void,
  ): HeadWatch => {
    let isClosed = false;
    let isReading = false;
    let isWatching = false;
    let lastSeenHead = { storeRevision: 0, revision: 0 };

    const readAll = async (): Promise<void> => {
      if (isReading || isClosed) {
        return;
      }
      isReading = true;
      const readAt = clock.monotonicMs();
      const result = await readConfiguration(store).run();
      isReading = false;
      result
        .ifLeft(() => {
          counters.increment('configuration-read-failures');
        })
        .ifRight(({ configuration, head, storeRevision }) => {
          lastSeenHead = { storeRevision, revision: head.revision };
          report({ kind: 'stored', configuration, head, readAt });
        });
    };

    /** Runs one watch. Returns false if the store did not answer. */
    const watchOnce = async (): Promise<boolean> => {
      const sentAt = clock.monotonicMs();
      const { storeRevision, revision } = lastSeenHead;
      const result = await store.watch(headKey, storeRevision, watchWaitMs);
      result.ifRight((stored) => {
        if (stored === undefined) {
          // The store reports no change only at the end of the wait, even if its reply arrives late.
          const readAt =
            clock.monotonicMs() - sentAt >= watchWaitMs ? sentAt + watchWaitMs : sentAt;
          report({ kind: 'unchanged', revision, readAt });
          return;
        }
        parseHead(stored.value)
          .ifLeft(() => {
            counters.increment('configuration-head-malformed');
          })
          .ifRight((head) => {
            lastSeenHead = { storeRevision: stored.revision, revision: head.revision };
            report({ kind: 'head', head, readAt: sentAt });
          });
      });
      return result.isRight();
    };

    const watch = async (): Promise<void> => {
      isWatching = true;
      while (!isClosed && isWatcher()) {
        if (!(await watchOnce())) {
          counters.increment('configuration-watch-failures');
          await new Promise<void>((resolve) => {
            clock.after(retryPauseMs, resolve);
          });
        }
      }
      isWatching = false;
    };

    const cancel = clock.every(retryPauseMs, () => {
      if (!isWatching && !isClosed && isWatcher()) {
        void watch();
      }
    });

    return {
      readAll,
      close: () => {
        isClosed = true;
        cancel();
      },
    };
  },
};
