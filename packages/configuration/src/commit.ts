import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { Store, WriteOutcome } from '@zinniagrade/platform';
import type {
  ChangeSet,
  Configuration,
  ConfigurationChange,
  Milliseconds,
  Revision,
} from '@zinniagrade/types';
import { type Either, EitherAsync, Left, Right } from 'purify-ts';
import {
  basePartKey,
  findOperation,
  splitConfiguration,
  type Head,
  headKey,
  nextHead,
} from './head.js';
import { validateChanges } from './validate-changes.js';
import { type StoredConfiguration, readConfiguration } from './stored-configuration.js';

/**
 * Attempts per commit. Covers both lost compare-and-swap races and writes whose outcome is unknown.
 */
const maxAttempts = 16;
/** Delay between attempts while the store fails; 16 attempts outlast a short outage. */
const retryDelayMs: Milliseconds = 250;

export interface CommitOptions {
  /** Wall clock for the deadlines of moves, and timers for the delay between attempts. */
  readonly clock: Clock;
  /** The commit fails with `revision-conflict` if the configuration is at any other revision. */
  readonly expectedRevision?: Revision | undefined;
  /** No write is sent after this wall-clock time. */
  readonly notAfterWallMs?: Milliseconds | undefined;
}

/**
 * Writes the parts of a base. Parts are immutable, so one that already exists has the same content.
 */
const writeBaseParts = (store: Store, configuration: Configuration): EitherAsync<Failure, number> =>
  EitherAsync(async (helpers) => {
    const fragments = splitConfiguration(configuration);
    for (const [part, fragment] of fragments.entries()) {
      const key = basePartKey(configuration.revision, part);
      let outcome = await store.put(key, fragment, 0);
      if (outcome.outcome === 'unknown') {
        // Safe to retry: whichever write takes effect first creates the key, with the same content.
        outcome = await store.put(key, fragment, 0);
      }
      if (outcome.outcome === 'not-sent' || outcome.outcome === 'unknown') {
        return helpers.throwE(outcome.failure);
      }
    }
    return fragments.length;
  });

/** Best effort: a failure leaves unreferenced parts, which only use space in the store. */
const deleteBaseParts = async (store: Store, { baseRevision, baseParts }: Head): Promise<void> => {
  for (let part = 0; baseRevision > 0 && part < baseParts; part += 1) {
    const key = basePartKey(baseRevision, part);
    const stored = (await store.get(key)).orDefault(undefined);
    if (stored !== undefined) {
      await store.delete(key, stored.revision);
    }
  }
};

/** Validates the change set against the stored configuration and writes the head once. */
const planAndWrite = (
  store: Store,
  changeSet: ChangeSet,
  stored: StoredConfiguration,
  wallNow: Milliseconds,
): EitherAsync<Failure, WriteOutcome> =>
  EitherAsync(async (helpers) => {
    await helpers.liftEither(validateChanges(stored.configuration, changeSet, wallNow));
    const { head, newBase } = nextHead(stored.head, changeSet);
    const baseParts =
      newBase === undefined
        ? head.baseParts
        : await helpers.fromPromise(writeBaseParts(store, stored.configuration).run());
    const outcome = await store.put(headKey, { ...head, baseParts }, stored.storeRevision);
    if (outcome.outcome === 'done' && newBase !== undefined) {
      await deleteBaseParts(store, stored.head);
    }
    return outcome;
  });

const unknownOutcome = (detail: string): Failure =>
  Failure.create(
    'outcome-unknown',
    `outcome of the change unknown: ${detail}; repeat the change set with the same operation id`,
  );

const sameChanges = (a: ChangeSet, b: ChangeSet): boolean =>
  JSON.stringify(a.changes) === JSON.stringify(b.changes);

/** The result of the commit if the stored head alone decides it, without a write. */
const resultWithoutWrite = (
  { head }: StoredConfiguration,
  changeSet: ChangeSet,
  expected: Revision | undefined,
  uncertainWrite: UncertainWrite | undefined,
): Either<Failure, Revision> | undefined => {
  const committed = findOperation(head, changeSet.operationId);
  if (committed !== undefined) {
    return sameChanges(committed, changeSet)
      ? Right(committed.revision)
      : Left(
          Failure.create(
            'invalid-configuration',
            `operation id "${changeSet.operationId}" was already used for other changes, committed as revision ${committed.revision}`,
          ),
        );
  }
  // The uncertain write would be the entry after `uncertainWrite.revision`. Once the log no longer
  // holds that entry, reading it back cannot tell whether the write took effect.
  if (
    uncertainWrite !== undefined &&
    (head.changes[0]?.revision ?? 1) > uncertainWrite.revision + 1
  ) {
    return Left(unknownOutcome('the change log no longer reaches back to its first write'));
  }
  return expected === undefined || head.revision === expected
    ? undefined
    : Left(
        Failure.create(
          'revision-conflict',
          `expected revision ${expected}, but revision ${head.revision} was accepted; ` +
            'read it and try again',
        ),
      );
};

/** Position of the head at the first write whose outcome is unknown. */
interface UncertainWrite {
  readonly revision: Revision;
  readonly storeRevision: number;
}

const commit = async (
  store: Store,
  changeSet: ChangeSet,
  { clock, expectedRevision, notAfterWallMs = Infinity }: CommitOptions,
): Promise<Either<Failure, Revision>> => {
  const waitToRetry = (): Promise<void> =>
    new Promise((resolve) => {
      clock.after(retryDelayMs, resolve);
    });
  let uncertainWrite: UncertainWrite | undefined;
  /**
   * The failure itself, or `outcome-unknown` while an earlier uncertain write can still take
   * effect. It no longer can once the store's revision of the head has changed.
   */
  const failureResult = (failure: Failure, storeRevision?: number): Either<Failure, never> =>
    Left(
      uncertainWrite === undefined ||
        (storeRevision !== undefined && storeRevision !== uncertainWrite.storeRevision)
        ? failure
        : unknownOutcome(failure.detail),
    );

  let lastFailure = Failure.create(
    'overloaded',
    `lost ${maxAttempts} compare-and-swap races against other operators`,
  );
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const readResult = await readConfiguration(store).run();
    if (readResult.isLeft()) {
      lastFailure = readResult.extract();
      if (uncertainWrite === undefined) {
        return Left(lastFailure);
      }
      await waitToRetry();
      continue;
    }
    const stored = readResult.extract() as StoredConfiguration;
    const result = resultWithoutWrite(stored, changeSet, expectedRevision, uncertainWrite);
    if (result !== undefined) {
      return result;
    }
    if (clock.wallMs() > notAfterWallMs) {
      const tooLate = Failure.create(
        'invalid-configuration',
        `change not written: its latest time of ${notAfterWallMs} ms (wall clock) has passed`,
      );
      return failureResult(tooLate, stored.storeRevision);
    }
    const writeResult = await planAndWrite(store, changeSet, stored, clock.wallMs()).run();
    if (writeResult.isLeft()) {
      return failureResult(writeResult.extract(), stored.storeRevision);
    }
    const outcome = writeResult.extract() as WriteOutcome;
    if (outcome.outcome === 'done') {
      return Right(stored.head.revision + 1);
    }
    if (outcome.outcome === 'lost-race') {
      continue;
    }
    lastFailure = outcome.failure;
    if (outcome.outcome === 'unknown') {
      uncertainWrite ??= { revision: stored.head.revision, storeRevision: stored.storeRevision };
    } else if (uncertainWrite === undefined) {
      return Left(lastFailure);
    }
    await waitToRetry();
  }
  return failureResult(lastFailure);
};

/**
 * Commits a change set with one compare-and-swap and returns its revision. Idempotent by operation
 * id: a repeat returns the revision of the first commit. Failures: `invalid-configuration`,
 * `revision-conflict` (names the current revision), `store-unavailable` (nothing was written),
 * `outcome-unknown`, `overloaded`.
 */
export const commitChangeSet = (
  store: Store,
  changeSet: ChangeSet,
  options: CommitOptions,
): EitherAsync<Failure, Revision> =>
  EitherAsync.fromPromise(() => commit(store, changeSet, options));

/**
 * The message that the committing process sends to a few nodes before it answers the operator.
 * Without it, a change that is accepted just before a store outage would reach no node until the
 * store recovers.
 */
export const createChangeMessage = (
  changeSet: ChangeSet,
  revision: Revision,
): ConfigurationChange => ({
  kind: 'configuration-change',
  changes: [{ ...changeSet, revision }],
});
