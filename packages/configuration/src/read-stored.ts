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
  readHead,
} from './head.js';

/** The base may be replaced while it is read; each time the reading starts again. */
const readTries = 4;

export interface StoredHead {
  readonly head: Head;
  /** Revision of the key in the store; 0 while it does not exist. */
  readonly storeRevision: number;
}

/** What the store holds, at one moment. */
export interface StoredConfiguration extends StoredHead {
  readonly configuration: Configuration;
}

/** Reads `configuration/head`. Failures: `store-unavailable`, `invalid-configuration`. */
export const readStoredHead = (store: Store): EitherAsync<Failure, StoredHead> =>
  EitherAsync(async (helpers) => {
    const stored = await helpers.fromPromise(store.get(headKey));
    return stored === undefined
      ? { head: emptyHead, storeRevision: 0 }
      : { head: await helpers.liftEither(readHead(stored.value)), storeRevision: stored.revision };
  });

/** Reads a base; `undefined` when a part is gone because a newer base has taken its place. */
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
    for (let tries = 0; tries < readTries; tries += 1) {
      const { head, storeRevision } = await helpers.fromPromise(readStoredHead(store).run());
      const base = await helpers.fromPromise(readBase(store, head).run());
      if (base === undefined) {
        continue;
      }
      const configuration = applyLog(base, head.changes);
      return configuration.revision === head.revision
        ? { head, storeRevision, configuration }
        : helpers.throwE(
            Failure.create('internal', `the log does not lead to revision ${head.revision}`),
          );
    }
    return helpers.throwE(
      Failure.create('store-unavailable', 'the base was replaced during each reading'),
    );
  });
