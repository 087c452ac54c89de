import type {
  ClientAccount,
  Configuration,
  DataCentre,
  Service,
  ServiceClass,
  Upstream,
} from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';

/**
 * Output length in tokens: log-normal with a Pareto tail. No trace of the deployments is published, so
 * the parameters are invented; they give the short and the long outputs that the design calls for.
 */
export interface LengthParameters {
  readonly medianTokens: number;
  readonly sigma: number;
  /** Share of the outputs that are drawn from the tail, which begins at the 90% quantile. */
  readonly tailShare: number;
  readonly tailExponent: number;
  readonly maxTokens: number;
}

export interface TrafficClass {
  readonly service: Service;
  /** Share of the requests of the same service kind (generation or plain). */
  readonly share: number;
  readonly outputLength?: LengthParameters;
  readonly promptTokenRange?: readonly [number, number];
  /** Length of the prompt prefix that the requests of one account share. */
  readonly sharedPrefixTokens?: number;
  /** Mean execution time of a plain service. */
  readonly meanServiceMs?: number;
}

export interface Deployment {
  readonly name: string;
  readonly nodes: number;
  readonly linkDelayMs: number;
  readonly traffic: readonly TrafficClass[];
  readonly configuration: Configuration;
  /** Share of the requests by client account. */
  readonly accountShares: Readonly<Record<string, number>>;
  readonly plainPerSecond: number;
}

const createService = (
  id: string,
  serviceClass: ServiceClass,
  firstAnswerDeadlineMs: number,
): Service => {
  const generates = serviceClass.endsWith('generation');
  return {
    id,
    kind: generates ? 'generation' : 'plain',
    class: serviceClass,
    ...(generates ? { model: 'main' } : {}),
    version: 'v1',
    operations: [],
    firstAnswerDeadlineMs,
  };
};

interface DeploymentSpec {
  readonly dataCentres: readonly string[];
  readonly engines: number;
  readonly appWorkers: number;
  readonly traffic: readonly TrafficClass[];
}

export const engineMemoryTokens = 24_000;
export const engineSlots = 32;
export const appSlots = 16;

const upstreamsOf = (spec: DeploymentSpec, kind: 'engine' | 'plain', count: number): Upstream[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `${kind}-${index}`,
    kind,
    dataCentre: spec.dataCentres[index % spec.dataCentres.length] ?? '',
    host: '127.0.0.1',
    port: 1,
    services: spec.traffic
      .filter((entry) => (entry.service.kind === 'generation') === (kind === 'engine'))
      .map((entry) => entry.service.id),
    version: 'v1',
    capacity:
      kind === 'engine'
        ? { slots: engineSlots, memoryTokens: engineMemoryTokens }
        : { slots: appSlots, memoryTokens: 0 },
    coldSlots: kind === 'engine' ? 1 : appSlots,
    refusesOldFencingTokens: true,
    state: 'in-service',
  }));

const byId = <T extends { readonly id: string }>(list: readonly T[]): Record<string, T> =>
  Object.fromEntries(list.map((entry) => [entry.id, entry]));

const accounts: readonly ClientAccount[] = Array.from({ length: 10 }, (_, index) => ({
  id: `account-${index}`,
  secretHash: '',
  weight: 1,
  maxOpenStreams: 64,
}));

/** Two large accounts send half of the traffic. */
const accountShares = Object.fromEntries(
  accounts.map(({ id }, index) => [id, index < 2 ? 0.25 : 0.5 / 8]),
);

const configurationOf = (spec: DeploymentSpec): Configuration => ({
  ...emptyConfiguration,
  revision: 1,
  dataCentres: byId(
    spec.dataCentres.map((id): DataCentre => ({ id, region: 'region', state: 'in-service' })),
  ),
  services: byId(spec.traffic.map((entry) => entry.service)),
  upstreams: byId([
    ...upstreamsOf(spec, 'engine', spec.engines),
    ...upstreamsOf(spec, 'plain', spec.appWorkers),
  ]),
  clientAccounts: byId(accounts),
});

const returnsSpec: DeploymentSpec = {
  dataCentres: ['gent', 'brugge', 'leuven', 'hasselt'],
  engines: 10,
  appWorkers: 4,
  traffic: [
    {
      service: createService('condition-reports', 'long-generation', 1600),
      share: 0.6,
      outputLength: {
        medianTokens: 500,
        sigma: 0.8,
        tailShare: 0.06,
        tailExponent: 1.6,
        maxTokens: 6000,
      },
      promptTokenRange: [300, 900],
      sharedPrefixTokens: 256,
    },
    {
      service: createService('reuse-verdicts', 'short-generation', 1600),
      share: 0.4,
      outputLength: {
        medianTokens: 30,
        sigma: 0.6,
        tailShare: 0.02,
        tailExponent: 1.8,
        maxTokens: 2000,
      },
      promptTokenRange: [200, 500],
      sharedPrefixTokens: 128,
    },
    { service: createService('credit-notes', 'call', 1000), share: 0.2, meanServiceMs: 40 },
    { service: createService('status-lookups', 'lookup', 250), share: 0.8, meanServiceMs: 8 },
  ],
};

const mapsSpec: DeploymentSpec = {
  dataCentres: ['accra', 'tema', 'kumasi'],
  engines: 6,
  appWorkers: 3,
  traffic: [
    {
      service: createService('map-legends', 'long-generation', 1600),
      share: 0.7,
      outputLength: {
        medianTokens: 300,
        sigma: 0.9,
        tailShare: 0.05,
        tailExponent: 1.5,
        maxTokens: 6000,
      },
      promptTokenRange: [200, 1200],
      sharedPrefixTokens: 192,
    },
    {
      service: createService('event-sheet-checks', 'short-generation', 1600),
      share: 0.3,
      outputLength: {
        medianTokens: 80,
        sigma: 0.7,
        tailShare: 0.03,
        tailExponent: 1.8,
        maxTokens: 3000,
      },
      promptTokenRange: [300, 800],
      sharedPrefixTokens: 128,
    },
    { service: createService('reprint-orders', 'call', 1000), share: 0.15, meanServiceMs: 40 },
    { service: createService('order-status', 'lookup', 250), share: 0.85, meanServiceMs: 8 },
  ],
};

export const deployments: readonly Deployment[] = [
  {
    name: 'returns',
    nodes: 8,
    linkDelayMs: 1,
    traffic: returnsSpec.traffic,
    configuration: configurationOf(returnsSpec),
    accountShares,
    plainPerSecond: 60,
  },
  {
    name: 'maps',
    nodes: 7,
    linkDelayMs: 0.5,
    traffic: mapsSpec.traffic,
    configuration: configurationOf(mapsSpec),
    accountShares,
    plainPerSecond: 40,
  },
];

export const engineCount = (deployment: Deployment): number =>
  Object.values(deployment.configuration.upstreams).filter(({ kind }) => kind === 'engine').length;
