import { Failure } from '@zinniagrade/errors';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import {
  type ChangeSet,
  type CommittedChangeSet,
  type Configuration,
  type OperationId,
  type Revision,
  emptyConfiguration,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { z } from 'zod';
import { committedChangeSetSchema } from './change-schema.js';

export const headKey = 'configuration/head';
/** Change sets in the log at most. */
export const maxLogLength = 64;
/** The log keeps this many change sets after older ones moved to the base, for nodes that are behind. */
export const keptLogLength = 32;
/** Size of the log that moves it to the base; a value of the store holds 1 MB. */
const maxLogBytes = 512 * 1024;
const keptLogBytes = 256 * 1024;
/** Largest base part, as JSON. */
export const maxPartBytes = 512 * 1024;

/** The value of the key `configuration/head`. The log reaches back at least to the base. */
export interface Head {
  readonly revision: Revision;
  readonly baseRevision: Revision;
  readonly baseParts: number;
  readonly changes: readonly CommittedChangeSet[];
}

export const emptyHead: Head = { revision: 0, baseRevision: 0, baseParts: 0, changes: [] };

const headSchema: z.ZodType<Head> = z.strictObject({
  revision: z.number().int().nonnegative(),
  baseRevision: z.number().int().nonnegative(),
  baseParts: z.number().int().nonnegative(),
  changes: z.array(committedChangeSetSchema).max(maxLogLength),
});

export const readHead = (value: unknown): Either<Failure, Head> =>
  checkDocument(headSchema, value).mapLeft((faults) =>
    Failure.create('invalid-configuration', `${headKey}: ${formatFieldErrors(faults)}`),
  );

export const basePartKey = (revision: Revision, part: number): string =>
  `configuration/base/${revision}/${part}`;

export type Fragment = Partial<Omit<Configuration, 'revision'>>;

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Cuts a configuration into fragments of at most `maxBytes` as JSON, always in the same way. */
export const fragmentsOf = (
  configuration: Configuration,
  maxBytes = maxPartBytes,
): readonly Fragment[] => {
  const fragments: Record<string, Record<string, unknown>>[] = [{}];
  let size = 2;
  for (const section of Object.keys(emptyConfiguration).sort()) {
    if (section === 'revision') {
      continue;
    }
    const entries = configuration[section as keyof Fragment];
    for (const id of Object.keys(entries).sort()) {
      const bytes = bytesOf(entries[id]) + bytesOf(id) + bytesOf(section) + 8;
      if (size + bytes > maxBytes) {
        fragments.push({});
        size = 2;
      }
      size += bytes;
      const fragment = fragments[fragments.length - 1] ?? {};
      (fragment[section] ??= {})[id] = entries[id];
    }
  }
  return fragments;
};

export const joinFragments = (
  revision: Revision,
  fragments: readonly Fragment[],
): Configuration => {
  const joined: Record<string, Record<string, unknown>> = {};
  for (const fragment of fragments) {
    for (const [section, entries] of Object.entries(fragment)) {
      joined[section] = { ...joined[section], ...entries };
    }
  }
  return { ...emptyConfiguration, ...(joined as Fragment), revision };
};

/** The log entry of an operation, if the log still reaches back to it. */
export const findOperation = (head: Head, id: OperationId): CommittedChangeSet | undefined =>
  head.changes.find(({ operationId }) => operationId === id);

/** The head after one more change set, and whether older ones have to move to a new base before. */
export interface NextHead {
  readonly head: Head;
  /** Revision of the base to write first; its parts are the configuration at this revision. */
  readonly newBase?: Revision;
}

const keepNewest = (log: readonly CommittedChangeSet[]): readonly CommittedChangeSet[] => {
  let bytes = 0;
  const kept: CommittedChangeSet[] = [];
  for (const entry of [...log].reverse()) {
    bytes += bytesOf(entry);
    if (kept.length >= keptLogLength || (bytes > keptLogBytes && kept.length > 0)) {
      break;
    }
    kept.push(entry);
  }
  return kept.reverse();
};

/** Appends to the log; `baseParts` of a new base is filled in by the writer of the base. */
export const nextHead = (head: Head, changeSet: ChangeSet): NextHead => {
  const revision = head.revision + 1;
  const changes = [...head.changes, { ...changeSet, revision }];
  if (changes.length <= maxLogLength && bytesOf(changes) <= maxLogBytes) {
    return { head: { ...head, revision, changes } };
  }
  return {
    head: { ...head, revision, baseRevision: head.revision, changes: keepNewest(changes) },
    newBase: head.revision,
  };
};
