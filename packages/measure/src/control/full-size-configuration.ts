import { basePartKey, splitConfiguration, headKey } from '@zinniagrade/configuration';
import type { FixtureNode } from '@zinniagrade/control';
import { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import {
  type ClientAccount,
  type Configuration,
  type Service,
  type Upstream,
  emptyConfiguration,
} from '@zinniagrade/types';
import { Left, Right } from 'purify-ts';
import { dataCentresOf } from './fleet.js';

const upstreamCount = 12_000;
const accountCount = 16_000;
const modelCount = 6;

const byId = <T extends { readonly id: string }>(
  items: readonly T[],
): Readonly<Record<string, T>> => Object.fromEntries(items.map((item) => [item.id, item]));

/**
 * A configuration of the size that the system is designed for: 12,000 upstreams, 16,000 client
 * accounts, 6 models.
 */
export const createFullSizeConfiguration = (nodes: readonly FixtureNode[]): Configuration => {
  const dataCentres = dataCentresOf(nodes);
  const services = Array.from({ length: modelCount }, (_, index): Service => ({
    id: `service-${index}`,
    kind: 'generation',
    class: 'long-generation',
    model: `model-${index}`,
    version: `version-${index}`,
    operations: [],
    firstAnswerDeadlineMs: 1600,
  }));
  const upstreams = Array.from({ length: upstreamCount }, (_, index): Upstream => ({
    id: `upstream-${index}`,
    kind: 'engine',
    dataCentre: dataCentres[index % dataCentres.length]?.id ?? '',
    host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
    port: 8000,
    services: [`service-${index % modelCount}`],
    version: `version-${index % modelCount}`,
    capacity: { slots: 64, memoryTokens: 400_000 },
    coldSlots: 1,
    refusesOldFencingTokens: true,
    state: 'in-service',
  }));
  const clientAccounts = Array.from({ length: accountCount }, (_, index): ClientAccount => ({
    id: `account-${index}`,
    secretHash: index.toString(16).padStart(64, '0'),
    weight: 1,
    maxOpenStreams: 64,
  }));
  return {
    ...emptyConfiguration,
    revision: 1,
    dataCentres: byId(
      dataCentres.map((dataCentre) => ({ ...dataCentre, state: 'in-service' as const })),
    ),
    services: byId(services),
    versions: byId(services.map(({ id, version }) => ({ id: version, service: id }))),
    upstreams: byId(upstreams),
    clientAccounts: byId(clientAccounts),
  };
};

const readOnlyFailure = Left(
  Failure.create('store-unavailable', 'the store of this measurement is read-only'),
);

/**
 * Serves one configuration as the store does. Values are parsed from JSON on each read, so that
 * every reader gets its own copy.
 */
export const createReadOnlyStore = (
  configuration: Configuration,
  wait: (ms: number) => Promise<void>,
): Store => {
  const { revision } = configuration;
  const textsByKey = new Map(
    splitConfiguration(configuration).map((fragment, part) => [
      basePartKey(revision, part),
      JSON.stringify(fragment),
    ]),
  );
  const head = { revision, baseRevision: revision, baseParts: textsByKey.size, changes: [] };
  textsByKey.set(headKey, JSON.stringify(head));
  const writeRefusal = { outcome: 'not-sent', failure: readOnlyFailure.extract() } as const;
  return {
    get: (key) => {
      const text = textsByKey.get(key);
      return Promise.resolve(
        Right(
          text === undefined ? undefined : { key, value: JSON.parse(text) as unknown, revision },
        ),
      );
    },
    watch: async (_key, _after, waitMs) => {
      await wait(waitMs);
      return Right(undefined);
    },
    put: () => Promise.resolve(writeRefusal),
    delete: () => Promise.resolve(writeRefusal),
    list: () => Promise.resolve(readOnlyFailure),
    grantLease: () => Promise.resolve(readOnlyFailure),
    renewLease: () => Promise.resolve(readOnlyFailure),
    revokeLease: () => Promise.resolve(readOnlyFailure),
  };
};
