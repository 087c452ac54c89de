import { Failure } from '@zinniagrade/errors';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { Change, ChangeSet } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { z } from 'zod';

/** An id starts with a letter or digit, so that none is the name of an object's built-in property. */
const id = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/)
  .refine((text) => !Object.hasOwn(Object.prototype, text), 'an id that is not reserved');
const count = z.number().int().nonnegative();
const positive = z.number().int().positive();
const port = z.number().int().min(1).max(65_535);

const dataCentre = z.strictObject({
  id,
  region: id,
  state: z.enum(['in-service', 'withdrawn']),
});

const service = z.strictObject({
  id,
  kind: z.enum(['generation', 'plain']),
  class: z.enum(['lookup', 'call', 'short-generation', 'long-generation']),
  model: z.exactOptional(id),
  version: id,
  operations: z.array(z.strictObject({ name: id, idempotent: z.boolean() })).max(256),
  firstAnswerDeadlineMs: positive,
});

const upstream = z.strictObject({
  id,
  kind: z.enum(['engine', 'plain']),
  dataCentre: id,
  host: z.string().min(1).max(255),
  port,
  services: z.array(id).max(256),
  version: id,
  capacity: z.strictObject({ slots: positive, memoryTokens: count }),
  coldSlots: count,
  refusesOldFencingTokens: z.boolean(),
  orderCredential: z.exactOptional(z.string().max(1024)),
  state: z.enum(['in-service', 'leaving']),
});

const move = z.strictObject({
  id,
  service: id,
  fromVersion: id,
  toVersion: id,
  startAt: count,
  deadlineAt: count,
  state: z.enum(['planned', 'done', 'taken-back']),
  reason: z.exactOptional(z.string().max(1024)),
});

const clientAccount = z.strictObject({
  id,
  secretHash: z.string().regex(/^[0-9a-f]{64}$/),
  weight: z.number().positive(),
  maxOpenStreams: positive,
});

/** One change of the configuration. */
export const changeSchema: z.ZodType<Change> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('put-data-centre'), dataCentre }),
  z.strictObject({ kind: z.literal('withdraw-data-centre'), id }),
  z.strictObject({ kind: z.literal('return-data-centre'), id }),
  z.strictObject({ kind: z.literal('put-service'), service }),
  z.strictObject({
    kind: z.literal('put-version'),
    version: z.strictObject({ id, service: id }),
  }),
  z.strictObject({ kind: z.literal('put-upstream'), upstream }),
  z.strictObject({ kind: z.literal('remove-upstream'), id }),
  z.strictObject({ kind: z.literal('put-client-account'), clientAccount }),
  z.strictObject({ kind: z.literal('start-move'), move }),
  z.strictObject({
    kind: z.literal('end-move'),
    id,
    outcome: z.enum(['done', 'taken-back']),
    reason: z.string().max(1024),
  }),
]);

const operationId = z.string().min(1).max(128);

/** A change set as an operator sends it. */
export const changeSetSchema: z.ZodType<ChangeSet> = z.strictObject({
  operationId,
  changes: z.array(changeSchema).min(1).max(10_000),
});

/** A change set as it stands in the log. */
export const committedChangeSetSchema = z.strictObject({
  operationId,
  changes: z.array(changeSchema),
  revision: positive,
});

/** Parts of a configuration, as in a base part of the store or a `configuration-state` message. */
export const fragmentSchema = z.strictObject({
  dataCentres: z.record(id, dataCentre).exactOptional(),
  services: z.record(id, service).exactOptional(),
  versions: z.record(id, z.strictObject({ id, service: id })).exactOptional(),
  upstreams: z.record(id, upstream).exactOptional(),
  moves: z.record(id, move).exactOptional(),
  clientAccounts: z.record(id, clientAccount).exactOptional(),
});

/** Checks a change set from outside. The failure names every wrong field. */
export const readChangeSet = (document: unknown): Either<Failure, ChangeSet> =>
  checkDocument(changeSetSchema, document).mapLeft((faults) =>
    Failure.create('invalid-configuration', formatFieldErrors(faults)),
  );
