import { hashSecret } from '@zinniagrade/caller';
import { OperatorClient } from '@zinniagrade/operator';
import { Child, findFreePorts } from '@zinniagrade/proofs';
import type { Change, Upstream } from '@zinniagrade/types';

export const host = '127.0.0.1';
export const accountSecret = 'open-sesame';
const operatorToken = 'the token of the only operator';
const processSecret = 'a secret shared by the processes';
export const dataCentres = ['ghent', 'antwerp'] as const;
const region = 'flanders';
/**
 * A leaving node accepts new work for this time. The default is longer than the time for which
 * callers use an address answer.
 */
const leaveAcceptMs = 1_000;
const engineModel = { stepBaseMs: 10, stepPerStreamMs: 0.1, loadLagMs: 200 };
const nodeCount = 4;

/** Engine groups; each version of a service has its own engines. */
const engineGroups = [
  { prefix: 'report', version: 'report-1', service: 'condition-reports', count: 4 },
  { prefix: 'old', version: 'verdict-1', service: 'reuse-verdicts', count: 2 },
  { prefix: 'new', version: 'verdict-2', service: 'reuse-verdicts', count: 2 },
  { prefix: 'bad', version: 'verdict-3', service: 'reuse-verdicts', count: 2 },
] as const;

export interface System {
  readonly platform: Child;
  readonly operator: OperatorClient;
  /** By upstream id. */
  readonly upstreams: ReadonlyMap<string, { readonly child: Child; readonly upstream: Upstream }>;
  /** The running entry nodes. */
  readonly nodes: Child[];
  readonly startNode: (dataCentre: string) => Promise<Child>;
  readonly stop: () => Promise<void>;
}

const dataCentreOf = (index: number): string => dataCentres[index % dataCentres.length] ?? '';

const startEngines = () =>
  Promise.all(
    engineGroups.flatMap(({ prefix, version, service, count }) =>
      Array.from({ length: count }, async (_, index) => {
        const id = `${prefix}-${index}`;
        const model = { ...engineModel, version };
        const child = await Child.create('engine-standin', id, { port: 0, model });
        const upstream: Upstream = {
          ...{ id, kind: 'engine', dataCentre: dataCentreOf(index), host },
          ...{ port: child.ready.port ?? 0, services: [service], version },
          capacity: { slots: 64, memoryTokens: 200_000 },
          ...{ coldSlots: 4, refusesOldFencingTokens: true, state: 'in-service' },
        };
        return { child, upstream };
      }),
    ),
  );

const startServices = () =>
  Promise.all(
    dataCentres.map(async (dataCentre, index) => {
      const id = `application-${index}`;
      const child = await Child.create('service-standin', id, { port: 0, workMs: 10 });
      const upstream: Upstream = {
        ...{ id, kind: 'plain', dataCentre, host, port: child.ready.port ?? 0 },
        ...{ services: ['status-lookups', 'credit-notes'], version: 'application-1' },
        capacity: { slots: 64, memoryTokens: 0 },
        ...{ coldSlots: 64, refusesOldFencingTokens: true, state: 'in-service' },
      };
      return { child, upstream };
    }),
  );

/** The initial configuration, as one change set of the operator. */
export const initialChanges = (upstreams: readonly Upstream[]): readonly Change[] => [
  ...dataCentres.map((id): Change => ({
    kind: 'put-data-centre',
    dataCentre: { id, region, state: 'in-service' },
  })),
  {
    kind: 'put-service',
    service: {
      ...{ id: 'condition-reports', kind: 'generation', class: 'long-generation', model: 'm' },
      ...{ version: 'report-1', operations: [], firstAnswerDeadlineMs: 1_600 },
    },
  },
  {
    kind: 'put-service',
    service: {
      ...{ id: 'reuse-verdicts', kind: 'generation', class: 'short-generation', model: 'm' },
      ...{ version: 'verdict-1', operations: [], firstAnswerDeadlineMs: 1_600 },
    },
  },
  {
    kind: 'put-service',
    service: {
      ...{ id: 'status-lookups', kind: 'plain', class: 'lookup', version: 'application-1' },
      operations: [{ name: 'status', idempotent: true }],
      firstAnswerDeadlineMs: 1_000,
    },
  },
  {
    kind: 'put-service',
    service: {
      ...{ id: 'credit-notes', kind: 'plain', class: 'call', version: 'application-1' },
      operations: [{ name: 'issue', idempotent: false }],
      firstAnswerDeadlineMs: 1_000,
    },
  },
  ...engineGroups.map(({ version, service }): Change => ({
    kind: 'put-version',
    version: { id: version, service },
  })),
  { kind: 'put-version', version: { id: 'application-1', service: 'status-lookups' } },
  ...upstreams.map((upstream): Change => ({ kind: 'put-upstream', upstream })),
  {
    kind: 'put-client-account',
    clientAccount: {
      ...{ id: 'acme', secretHash: hashSecret(accountSecret), weight: 1, maxOpenStreams: 256 },
    },
  },
];

export const System = {
  /** Starts every process; the configuration is still empty. */
  create: async (): Promise<System> => {
    const [platform, timeline, engines, services] = await Promise.all([
      Child.create('platform-standin', 'platform', { port: 0 }),
      Child.create('timeline', 'timeline', { listen: { host, port: 0 }, secret: processSecret }),
      startEngines(),
      startServices(),
    ]);
    const platformAddress = { host, port: platform.ready.port ?? 0 };
    const timelineAddress = { host, port: timeline.ready.port ?? 0 };
    // Twice the number of nodes, so that there are ports for nodes started as replacements.
    const linkPorts = [...(await findFreePorts(2 * nodeCount))];
    const nodeLinks = linkPorts.slice(0, nodeCount).map((port) => ({ host, port }));
    const operatorChild = await Child.create('operator', 'operator', {
      listen: { host, port: 0 },
      credentials: [{ name: 'demo', tokenHash: hashSecret(operatorToken) }],
      ...{ platform: platformAddress, timeline: timelineAddress, nodeLinks },
      secret: processSecret,
    });
    const operator = OperatorClient.create(
      { host, port: operatorChild.ready.port ?? 0 },
      operatorToken,
    );
    const nodes: Child[] = [];
    const all: Child[] = [platform, timeline, operatorChild];
    all.push(...[...engines, ...services].map(({ child }) => child));
    let started = 0;
    return {
      platform,
      operator,
      upstreams: new Map([...engines, ...services].map((entry) => [entry.upstream.id, entry])),
      nodes,
      startNode: async (dataCentre) => {
        const nodeId = `entry-${started}`;
        started += 1;
        const node = await Child.create('entry', nodeId, {
          ...{ nodeId, dataCentre, region, host, callerPort: 0, leaveAcceptMs },
          ...{ linkPort: linkPorts.shift() ?? 0, seeds: nodeLinks, nodeSecret: processSecret },
          ...{ platform: platformAddress, timeline: timelineAddress },
        });
        nodes.push(node);
        all.push(node);
        return node;
      },
      stop: async () => {
        operator.close();
        await Promise.all(all.map((child) => child.kill()));
      },
    };
  },
};

/** Starts the entry nodes of both data centres. */
export const startNodes = (system: System): Promise<readonly Child[]> =>
  Promise.all(
    Array.from({ length: nodeCount }, (_, index) => system.startNode(dataCentreOf(index))),
  );
