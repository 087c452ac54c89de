import { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import { type Configuration, emptyConfiguration } from '@zinniagrade/types';
import { EitherAsync } from 'purify-ts';
import { applyLog } from './apply-changes.js';
import { fragmentSchema } from './change-schema.js';
import {
  type Fragment,
  type Head,
  basePartKey,
  emptyHead,
  headKey,
  joinFragments,
  parseHead,
} from './head.js';

/** Reading restarts when the base is replaced meanwhile. */
const maxReadAttempts = 4;

export interface StoredHead {
  readonly head: Head;
  /** Revision of the key in the store, or 0 if the key does not exist. */
  readonly storeRevision: number;
}

/** A consistent snapshot of the configuration in the store. */
export interface StoredConfiguration extends StoredHead {
  readonly configuration: Configuration;
}

/** Reads `configuration/head`. Failures: `store-unavailable`, `invalid-configuration`. */
export const readStoredHead = (store: Store): EitherAsync<Failure, StoredHead> =>
  EitherAsync(async (helpers) => {
    const stored = await helpers.fromPromise(store.get(headKey));
    return stored === undefined
      ? { head: emptyHead, storeRevision: 0 }
      : { head: await helpers.liftEither(parseHead(stored.value)), storeRevision: stored.revision };
  });

/**
 * Reads a base, or returns `undefined` if a part is missing because a newer base has replaced it.
 */
export const readBase = (
  store: Store,
  { baseRevision, baseParts }: Head,
): EitherAsync<Failure, Configuration | undefined> =>
  EitherAsync(async (helpers) => {
    const fragments: Fragment[] = [];
    for (let part = 0; part < baseParts; part += 1) {
      const key = basePartKey(baseRevision, part);
      const stored = await helpers.fromPromise(store.get(key));
      if (stored === undefined) {
        return undefined;
      }
      fragments.push(
        await helpers.liftEither(
          checkDocument(fragmentSchema, stored.value).mapLeft((faults) =>
            Failure.create('invalid-configuration', `${key}: ${formatFieldErrors(faults)}`),
          ),
        ),
      );
    }
    return baseRevision === 0 ? emptyConfiguration : joinFragments(baseRevision, fragments);
  });

/** Reads the whole configuration. Failures: `store-unavailable`, `invalid-configuration`. */
export const readConfiguration = (store: Store): EitherAsync<Failure, StoredConfiguration> =>
  EitherAsync(async (helpers) => {
    for (let attempt = 0; attempt < maxReadAttempts; attempt += 1) {
      const { head, storeRevision } = await helpers.fromPromise(readStoredHead(store).run());
      const base = await helpers.fromPromise(readBase(store, head).run());
      if (base === undefined) {
        continue;
      }
      const configuration = applyLog(base, head.changes);
      return configuration.revision === head.revision
        ? { head, storeRevision, configuration }
        : helpers.throwE(
            Failure.create(
              'internal',
              `stored base and log do not lead to revision ${head.revision}`,
            ),
          );
    }
    return helpers.throwE(
      Failure.create(
        'store-unavailable',
        `configuration base was replaced during each of ${maxReadAttempts} reads`,
      ),
    );
  });
