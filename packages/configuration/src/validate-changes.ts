import { Failure } from '@zinniagrade/errors';
import type {
  Change,
  ChangeSet,
  Configuration,
  Milliseconds,
  Move,
  Upstream,
} from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { applyChanges, ownEntry } from './apply-changes.js';

/**
 * Maximum size of a change set, as JSON. It must fit in one frame and, with others, in one store
 * value.
 */
export const maxChangeSetBytes = 128 * 1024;

/** A valid change set and the configuration that results from it. */
export interface ValidatedChanges {
  readonly changeSet: ChangeSet;
  readonly result: Configuration;
}

type Fault = string | undefined;

const unknownEntry = (entryKind: string, id: string): string => `unknown ${entryKind} "${id}"`;

const putUpstreamFault = (configuration: Configuration, upstream: Upstream): Fault => {
  if (ownEntry(configuration.dataCentres, upstream.dataCentre) === undefined) {
    return unknownEntry('data centre', upstream.dataCentre);
  }
  for (const id of upstream.services) {
    const service = ownEntry(configuration.services, id);
    if (service === undefined) {
      return unknownEntry('service', id);
    }
    if ((service.kind === 'generation') !== (upstream.kind === 'engine')) {
      return `service "${id}" of kind ${service.kind} cannot run on an upstream of kind ${upstream.kind}`;
    }
  }
  if (ownEntry(configuration.versions, upstream.version) === undefined) {
    return unknownEntry('version', upstream.version);
  }
  return upstream.coldSlots > upstream.capacity.slots
    ? `coldSlots ${upstream.coldSlots} exceeds the capacity of ${upstream.capacity.slots} slots`
    : undefined;
};

const moveVersionFault = (configuration: Configuration, move: Move, id: string): Fault => {
  const version = ownEntry(configuration.versions, id);
  if (version === undefined) {
    return unknownEntry('version', id);
  }
  return version.service === move.service
    ? undefined
    : `version "${id}" belongs to service "${version.service}"`;
};

const startMoveFault = (configuration: Configuration, move: Move, wallNow: Milliseconds): Fault => {
  const service = ownEntry(configuration.services, move.service);
  if (service === undefined) {
    return unknownEntry('service', move.service);
  }
  if (ownEntry(configuration.moves, move.id) !== undefined) {
    return `move "${move.id}" already exists`;
  }
  if (move.state !== 'planned') {
    return `a new move must be in state planned, not ${move.state}`;
  }
  if (service.version !== move.fromVersion) {
    return `service "${service.id}" is on version "${service.version}", not "${move.fromVersion}"`;
  }
  if (move.fromVersion === move.toVersion) {
    return `version "${move.fromVersion}" is both fromVersion and toVersion of the move`;
  }
  if (move.deadlineAt <= wallNow) {
    return `the deadline passed ${wallNow - move.deadlineAt} ms ago`;
  }
  if (move.deadlineAt <= move.startAt) {
    return 'the deadline of the move must be after its start';
  }
  const runningMove = Object.values(configuration.moves).find(
    ({ service: id, state, deadlineAt }) =>
      id === move.service && state === 'planned' && deadlineAt > wallNow,
  );
  return runningMove === undefined
    ? (moveVersionFault(configuration, move, move.fromVersion) ??
        moveVersionFault(configuration, move, move.toVersion))
    : `service "${move.service}" already has the move "${runningMove.id}"`;
};

const endMoveFault = (
  configuration: Configuration,
  change: Extract<Change, { kind: 'end-move' }>,
  wallNow: Milliseconds,
): Fault => {
  const move = ownEntry(configuration.moves, change.id);
  if (move === undefined) {
    return unknownEntry('move', change.id);
  }
  if (move.state !== 'planned') {
    return `move "${change.id}" has already ended as ${move.state}`;
  }
  return change.outcome === 'done' && move.deadlineAt <= wallNow
    ? `the deadline of move "${change.id}" passed ${wallNow - move.deadlineAt} ms ago`
    : undefined;
};

const inServiceCount = (configuration: Configuration): number =>
  Object.values(configuration.dataCentres).filter(({ state }) => state === 'in-service').length;

const withdrawalFault = (configuration: Configuration, id: string): Fault => {
  const dataCentre = ownEntry(configuration.dataCentres, id);
  if (dataCentre === undefined) {
    return unknownEntry('data centre', id);
  }
  return dataCentre.state === 'in-service' && inServiceCount(configuration) === 1
    ? `"${id}" is the last data centre in service`
    : undefined;
};

const putDataCentreFault = (
  configuration: Configuration,
  { dataCentre }: Extract<Change, { kind: 'put-data-centre' }>,
): Fault =>
  dataCentre.state === 'withdrawn' &&
  ownEntry(configuration.dataCentres, dataCentre.id) !== undefined
    ? withdrawalFault(configuration, dataCentre.id)
    : undefined;

const hasRunningMove = (configuration: Configuration, id: string, wallNow: Milliseconds): boolean =>
  Object.values(configuration.moves).some(
    ({ service, state, deadlineAt }) =>
      service === id && state === 'planned' && deadlineAt > wallNow,
  );

const putServiceFault = (
  configuration: Configuration,
  { service }: Extract<Change, { kind: 'put-service' }>,
  wallNow: Milliseconds,
): Fault => {
  if (service.kind === 'generation' && service.model === undefined) {
    return 'a generation service must name its model';
  }
  const previous = ownEntry(configuration.services, service.id);
  return previous !== undefined &&
    previous.version !== service.version &&
    hasRunningMove(configuration, service.id, wallNow)
    ? `cannot change the version of service "${service.id}" while a move of it is running`
    : undefined;
};

const faultOf = (configuration: Configuration, change: Change, wallNow: Milliseconds): Fault => {
  switch (change.kind) {
    case 'put-data-centre':
      return putDataCentreFault(configuration, change);
    case 'withdraw-data-centre':
      return withdrawalFault(configuration, change.id);
    case 'return-data-centre':
      return ownEntry(configuration.dataCentres, change.id) === undefined
        ? unknownEntry('data centre', change.id)
        : undefined;
    case 'put-service':
      return putServiceFault(configuration, change, wallNow);
    case 'put-version':
      return ownEntry(configuration.services, change.version.service) === undefined
        ? unknownEntry('service', change.version.service)
        : undefined;
    case 'put-upstream':
      return putUpstreamFault(configuration, change.upstream);
    case 'remove-upstream':
      return ownEntry(configuration.upstreams, change.id) === undefined
        ? unknownEntry('upstream', change.id)
        : undefined;
    case 'put-client-account':
      return undefined;
    case 'start-move':
      return startMoveFault(configuration, change.move, wallNow);
    case 'end-move':
      return endMoveFault(configuration, change, wallNow);
  }
};

/**
 * Validates a change set against a configuration; each change sees the effect of the earlier ones.
 * The failure `invalid-configuration` gives the index of the invalid change and what is wrong with
 * it.
 */
export const validateChanges = (
  configuration: Configuration,
  changeSet: ChangeSet,
  wallNow: Milliseconds,
): Either<Failure, ValidatedChanges> => {
  const bytes = Buffer.byteLength(JSON.stringify(changeSet));
  if (bytes > maxChangeSetBytes) {
    return Left(
      Failure.create(
        'invalid-configuration',
        `change set is ${bytes} bytes, over the limit of ${maxChangeSetBytes}; split it`,
      ),
    );
  }
  const revision = configuration.revision + 1;
  let result = configuration;
  for (const [index, change] of changeSet.changes.entries()) {
    const fault = faultOf(result, change, wallNow);
    if (fault !== undefined) {
      return Left(
        Failure.create('invalid-configuration', `changes.${index} (${change.kind}): ${fault}`),
      );
    }
    result = applyChanges(result, [change], revision);
  }
  return Right({ changeSet, result: { ...result, revision } });
};
