import { Failure } from '@zinniagrade/errors';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { Change, ChangeSet } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { z } from 'zod';

/**
 * Starts with a letter or digit and is not the name of a built-in object property, such as
 * `toString`.
 */
const id = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/)
  .refine((text) => !Object.hasOwn(Object.prototype, text), 'an id that is not reserved');
const nonNegativeInteger = z.number().int().nonnegative();
const positiveInteger = z.number().int().positive();
const portNumber = z.number().int().min(1).max(65_535);

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
  firstAnswerDeadlineMs: positiveInteger,
});

const upstream = z.strictObject({
  id,
  kind: z.enum(['engine', 'plain']),
  dataCentre: id,
  host: z.string().min(1).max(255),
  port: portNumber,
  services: z.array(id).max(256),
  version: id,
  capacity: z.strictObject({ slots: positiveInteger, memoryTokens: nonNegativeInteger }),
  coldSlots: nonNegativeInteger,
  refusesOldFencingTokens: z.boolean(),
  orderCredential: z.exactOptional(z.string().max(1024)),
  state: z.enum(['in-service', 'leaving']),
});

const move = z.strictObject({
  id,
  service: id,
  fromVersion: id,
  toVersion: id,
  startAt: nonNegativeInteger,
  deadlineAt: nonNegativeInteger,
  state: z.enum(['planned', 'done', 'taken-back']),
  reason: z.exactOptional(z.string().max(1024)),
});

const clientAccount = z.strictObject({
  id,
  secretHash: z.string().regex(/^[0-9a-f]{64}$/),
  weight: z.number().positive(),
  maxOpenStreams: positiveInteger,
});

/** Schema of one configuration change. */
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

/** Schema of a change set as an operator sends it. */
export const changeSetSchema: z.ZodType<ChangeSet> = z.strictObject({
  operationId,
  changes: z.array(changeSchema).min(1).max(10_000),
});

/** Schema of a change set in the log, with its revision. */
export const committedChangeSetSchema = z.strictObject({
  operationId,
  changes: z.array(changeSchema),
  revision: positiveInteger,
});

/**
 * Schema of a part of a configuration, as in a base part in the store or a `configuration-state`
 * message.
 */
export const fragmentSchema = z.strictObject({
  dataCentres: z.record(id, dataCentre).exactOptional(),
  services: z.record(id, service).exactOptional(),
  versions: z.record(id, z.strictObject({ id, service: id })).exactOptional(),
  upstreams: z.record(id, upstream).exactOptional(),
  moves: z.record(id, move).exactOptional(),
  clientAccounts: z.record(id, clientAccount).exactOptional(),
});

/** Validates untrusted input as a change set. The failure names every invalid field. */
export const parseChangeSet = (document: unknown): Either<Failure, ChangeSet> =>
  checkDocument(changeSetSchema, document).mapLeft((faults) =>
    Failure.create('invalid-configuration', formatFieldErrors(faults)),
  );
