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

/** A waiting watch confirms the head twice a second; neighbours hear of it with up to 2 s to spare. */
const watchMs: Milliseconds = 500;
const pauseMs: Milliseconds = 250;

/** What the node reads from the store for its configuration. */
export interface HeadWatch {
  /** Reads the whole configuration, once at a time. */
  readonly readAll: () => Promise<void>;
  readonly close: () => void;
}

export const HeadWatch = {
  /** Watches the head for as long as `isWatcher` says so, and reports what it reads. */
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
    let seen = { storeRevision: 0, revision: 0 };

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
          seen = { storeRevision, revision: head.revision };
          report({ kind: 'stored', configuration, head, readAt });
        });
    };

    /** One watch; false when the store did not answer. */
    const watchOnce = async (): Promise<boolean> => {
      const sentAt = clock.monotonicMs();
      const { storeRevision, revision } = seen;
      const result = await store.watch(headKey, storeRevision, watchMs);
      result.ifRight((stored) => {
        if (stored === undefined) {
          // The store answers so only at the end of the waiting time, also when its reply is late.
          const readAt = clock.monotonicMs() - sentAt >= watchMs ? sentAt + watchMs : sentAt;
          report({ kind: 'unchanged', revision, readAt });
          return;
        }
        parseHead(stored.value)
          .ifLeft(() => {
            counters.increment('configuration-head-malformed');
          })
          .ifRight((head) => {
            seen = { storeRevision: stored.revision, revision: head.revision };
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
            clock.after(pauseMs, resolve);
          });
        }
      }
      isWatching = false;
    };

    const cancel = clock.every(pauseMs, () => {
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
