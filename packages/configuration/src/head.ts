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
/** Maximum number of change sets in the log. */
export const maxLogLength = 64;
/** Change sets kept in the log after compaction into the base, for nodes that are behind. */
export const compactedLogLength = 32;
/** Log size that triggers compaction into the base. The store holds at most 1 MB per value. */
const maxLogBytes = 512 * 1024;
const compactedLogBytes = 256 * 1024;
/** Maximum size of a base part, as JSON. */
export const maxBasePartBytes = 512 * 1024;

/**
 * The value of the key `configuration/head`. The log reaches back at least to the base revision.
 */
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

export const parseHead = (value: unknown): Either<Failure, Head> =>
  checkDocument(headSchema, value).mapLeft((faults) =>
    Failure.create('invalid-configuration', `${headKey}: ${formatFieldErrors(faults)}`),
  );

export const basePartKey = (revision: Revision, part: number): string =>
  `configuration/base/${revision}/${part}`;

export type Fragment = Partial<Omit<Configuration, 'revision'>>;

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Splits a configuration deterministically into fragments of at most `maxBytes` as JSON. */
export const splitConfiguration = (
  configuration: Configuration,
  maxBytes = maxBasePartBytes,
): readonly Fragment[] => {
  const fragments: Record<string, Record<string, unknown>>[] = [{}];
  let size = 2;
  for (const section of Object.keys(emptyConfiguration).sort()) {
    if (section === 'revision') {
      continue;
    }
    const entries = configuration[section as keyof Fragment];
    for (const id of Object.keys(entries).sort()) {
      const bytes = jsonBytes(entries[id]) + jsonBytes(id) + jsonBytes(section) + 8;
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

/** The log entry of an operation, if the log still holds it. */
export const findOperation = (head: Head, id: OperationId): CommittedChangeSet | undefined =>
  head.changes.find(({ operationId }) => operationId === id);

/** The head after one more change set, and whether a new base has to be written first. */
export interface NextHead {
  readonly head: Head;
  /** Revision of the base to write before the head. It holds the configuration at this revision. */
  readonly newBase?: Revision;
}

const newestEntries = (log: readonly CommittedChangeSet[]): readonly CommittedChangeSet[] => {
  let bytes = 0;
  const kept: CommittedChangeSet[] = [];
  for (const entry of [...log].reverse()) {
    bytes += jsonBytes(entry);
    if (kept.length >= compactedLogLength || (bytes > compactedLogBytes && kept.length > 0)) {
      break;
    }
    kept.push(entry);
  }
  return kept.reverse();
};

/** Appends a change set to the log. For a new base, the caller that writes it sets `baseParts`. */
export const nextHead = (head: Head, changeSet: ChangeSet): NextHead => {
  const revision = head.revision + 1;
  const changes = [...head.changes, { ...changeSet, revision }];
  if (changes.length <= maxLogLength && jsonBytes(changes) <= maxLogBytes) {
    return { head: { ...head, revision, changes } };
  }
  return {
    head: { ...head, revision, baseRevision: head.revision, changes: newestEntries(changes) },
    newBase: head.revision,
  };
};
