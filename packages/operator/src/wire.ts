import { parseChangeSet } from '@zinniagrade/configuration';
import { Failure } from '@zinniagrade/errors';
import {
  type Change,
  type ChangeSet,
  type Configuration,
  emptyConfiguration,
  type Milliseconds,
  type Revision,
} from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';

/** A decoded gRPC message: fields in camel case, `null` for an absent message. */
export type WireMessage = Readonly<Record<string, unknown>>;

/** Sections of the configuration by the names that operators use. */
export const sections = {
  'data-centres': 'dataCentres',
  services: 'services',
  versions: 'versions',
  upstreams: 'upstreams',
  moves: 'moves',
  'client-accounts': 'clientAccounts',
} as const satisfies Record<string, keyof Configuration>;

export type SectionName = keyof typeof sections;

export const isSectionName = (name: string): name is SectionName => Object.hasOwn(sections, name);

/**
 * For each kind of change: its field in the gRPC message, and the property of the change that this
 * field holds.
 */
const changeFields = {
  'put-data-centre': ['putDataCentre', 'dataCentre'],
  'withdraw-data-centre': ['withdrawDataCentre', 'id'],
  'return-data-centre': ['returnDataCentre', 'id'],
  'put-service': ['putService', 'service'],
  'put-version': ['putVersion', 'version'],
  'put-upstream': ['putUpstream', 'upstream'],
  'remove-upstream': ['removeUpstream', 'id'],
  'put-client-account': ['putClientAccount', 'clientAccount'],
  'start-move': ['startMove', 'move'],
  'end-move': ['endMove', undefined],
} as const satisfies Record<Change['kind'], readonly [string, string | undefined]>;

export const changeToWire = (change: Change): WireMessage => {
  const [field, property] = changeFields[change.kind];
  const value = property === undefined ? change : (change as unknown as WireMessage)[property];
  return { [field]: value };
};

const isSet = (value: unknown): boolean => value !== undefined && value !== null;

/** Converts a change to a document that has not been validated; `undefined` if no field is set. */
const changeDocument = (wire: WireMessage): WireMessage | undefined => {
  for (const [kind, [field, property]] of Object.entries(changeFields)) {
    const value = wire[field];
    if (isSet(value)) {
      return property === undefined
        ? { kind, ...(value as WireMessage) }
        : { kind, [property]: value };
    }
  }
  return undefined;
};

/** Validates the changes of a request; the failure names every invalid field. */
export const changeSetFromWire = (
  operationId: string,
  changes: readonly WireMessage[],
): Either<Failure, ChangeSet> =>
  parseChangeSet({ operationId, changes: changes.map((change) => changeDocument(change) ?? {}) });

/** Operation id and expected revision of a write request. */
export interface Write {
  readonly operationId: string;
  readonly expectedRevision: Revision | undefined;
}

export const parseWrite = (request: WireMessage): Either<Failure, Write> => {
  const { operationId, expectedRevision } = (request.write ?? {}) as WireMessage;
  return typeof operationId === 'string' && operationId !== ''
    ? Right({
        operationId,
        expectedRevision: typeof expectedRevision === 'number' ? expectedRevision : undefined,
      })
    : Left(Failure.create('invalid-request', 'write.operation_id: expected an id; found none'));
};

/** A configuration, or part of one, with its age. */
export interface ConfigurationSnapshot {
  readonly configuration: Configuration;
  /** 0 when read from the store just now; otherwise the time since the store last confirmed it. */
  readonly ageMs: Milliseconds;
}

export const configurationToWire = ({
  ageMs,
  configuration,
}: ConfigurationSnapshot): WireMessage => ({
  revision: configuration.revision,
  ageMs,
  ...Object.fromEntries(
    Object.values(sections).map((section) => [section, Object.values(configuration[section])]),
  ),
});

export const configurationFromWire = (wire: WireMessage): ConfigurationSnapshot => {
  const parts = Object.values(sections).map((section) => {
    const entries = (wire[section] ?? []) as readonly { readonly id: string }[];
    return [section, Object.fromEntries(entries.map((entry) => [entry.id, entry]))] as const;
  });
  return {
    ageMs: Number(wire.ageMs),
    configuration: {
      ...emptyConfiguration,
      ...(Object.fromEntries(parts) as Partial<Configuration>),
      revision: Number(wire.revision),
    },
  };
};
