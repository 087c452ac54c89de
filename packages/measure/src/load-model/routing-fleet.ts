import type { HeldLimit, Member, NodeView, Upstream } from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';

const dataCentreCount = 7;
const regionCount = 3;
const modelCount = 6;
/** In a fleet of at most this many workers, each worker serves every model. */
const maxSmallFleetWorkers = 10;

const service = (model: number) => ({
  id: `service-${model}`,
  kind: 'generation' as const,
  class: 'long-generation' as const,
  model: `model-${model}`,
  version: 'v1',
  operations: [],
  firstAnswerDeadlineMs: 1600,
});

const indexes = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

export const fleetServices = indexes(modelCount).map(service);

const upstream = (index: number, workers: number): Upstream => ({
  id: `engine-${index}`,
  kind: 'engine',
  dataCentre: `dc-${index % dataCentreCount}`,
  host: '127.0.0.1',
  port: 1,
  services:
    workers <= maxSmallFleetWorkers
      ? fleetServices.map(({ id }) => id)
      : [`service-${Math.floor(index / dataCentreCount) % modelCount}`],
  version: 'v1',
  capacity: { slots: 96, memoryTokens: 200_000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
});

const member = (index: number): Member => ({
  nodeId: `node-${index}`,
  incarnation: 1,
  processIncarnation: 1,
  host: '127.0.0.1',
  callerPort: 1,
  linkPort: 2,
  dataCentre: `dc-${index % dataCentreCount}`,
  region: `region-${(index % dataCentreCount) % regionCount}`,
  status: 'alive',
});

const byId = <T extends { readonly id: string }>(list: readonly T[]): Record<string, T> =>
  Object.fromEntries(list.map((entry) => [entry.id, entry]));

/**
 * Input of routing at one node of a fleet with 3 regions, 7 data centres and 6 models; it holds no
 * limits.
 */
export const createFleetView = (workers: number, nodes: number): NodeView => ({
  configuration: {
    ...emptyConfiguration,
    revision: 1,
    dataCentres: byId(
      indexes(dataCentreCount).map((index) => ({
        id: `dc-${index}`,
        region: `region-${index % regionCount}`,
        state: 'in-service' as const,
      })),
    ),
    services: byId(fleetServices),
    upstreams: byId(indexes(workers).map((index) => upstream(index, workers))),
  },
  members: indexes(nodes).map(member),
  withdrawnDataCentres: new Set(),
  leavingUpstreams: new Set(),
  limits: new Map(),
  loadReports: new Map(),
  moveShares: new Map(),
});

export const fleetLimit: HeldLimit = {
  slots: 12,
  memoryTokens: 25_000,
  warm: true,
  others: { requests: 40, memoryTokens: 90_000 },
  lapsesAt: Number.POSITIVE_INFINITY,
};
