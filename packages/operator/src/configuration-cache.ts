import type { Clock } from '@zinniagrade/clock';
import { headKey, readConfiguration } from '@zinniagrade/configuration';
import type { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import { type Configuration, emptyConfiguration, type Milliseconds } from '@zinniagrade/types';
import { type Either, Right } from 'purify-ts';
import type { ConfigurationSnapshot } from './wire.js';

const watchTimeoutMs: Milliseconds = 1000;
const retryDelayMs: Milliseconds = 500;

/** The last configuration that this process has read from the store. */
export interface CachedConfiguration {
  readonly configuration: Configuration;
  /**
   * Wall-clock time before the call by which the store last confirmed it; undefined before the
   * first.
   */
  readonly confirmedAtWall: Milliseconds | undefined;
  readonly storeReachable: boolean;
}

/**
 * Follows the configuration in the store, and keeps the last copy for use while the store is down.
 */
export interface ConfigurationCache {
  readonly current: () => CachedConfiguration;
  /** Reads from the store; if that fails, returns the cached copy if there is one. */
  readonly read: () => Promise<Either<Failure, ConfigurationSnapshot>>;
  readonly close: () => void;
}

export const ConfigurationCache = {
  create: (store: Store, clock: Clock): ConfigurationCache => {
    let cached: CachedConfiguration = {
      configuration: emptyConfiguration,
      confirmedAtWall: undefined,
      storeReachable: false,
    };
    let storeRevision = 0;
    let closed = false;

    const load = async (): Promise<Either<Failure, Configuration>> => {
      const startedAt = clock.wallMs();
      const stored = await readConfiguration(store).run();
      return stored
        .ifLeft(() => {
          cached = { ...cached, storeReachable: false };
        })
        .map((storedConfiguration) => {
          // Reads may complete out of order; an older revision never replaces a newer one.
          if (storedConfiguration.configuration.revision >= cached.configuration.revision) {
            ({ storeRevision } = storedConfiguration);
            cached = {
              configuration: storedConfiguration.configuration,
              confirmedAtWall: Math.max(startedAt, cached.confirmedAtWall ?? 0),
              storeReachable: true,
            };
          }
          return storedConfiguration.configuration;
        });
    };

    const pause = (): Promise<void> =>
      new Promise((resolve) => {
        clock.after(retryDelayMs, resolve);
      });

    const follow = async (): Promise<void> => {
      while (!closed) {
        if (!cached.storeReachable) {
          const loaded = await load();
          if (loaded.isLeft()) {
            await pause();
          }
          continue;
        }
        const startedAt = clock.wallMs();
        const change = await store.watch(headKey, storeRevision, watchTimeoutMs);
        if (change.isLeft()) {
          cached = { ...cached, storeReachable: false };
        } else if (change.extract() === undefined) {
          cached = { ...cached, confirmedAtWall: startedAt };
        } else {
          await load();
        }
      }
    };

    void follow();
    return {
      current: () => cached,
      read: async () => {
        const loaded = await load();
        const { confirmedAtWall } = cached;
        if (loaded.isLeft() && confirmedAtWall !== undefined) {
          return Right({
            configuration: cached.configuration,
            ageMs: Math.max(1, clock.wallMs() - confirmedAtWall),
          });
        }
        return loaded.map((configuration) => ({ configuration, ageMs: 0 }));
      },
      close: () => {
        closed = true;
      },
    };
  },
};
