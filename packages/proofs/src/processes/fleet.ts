import { Clock } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import { findFreePort } from '@zinniagrade/free-ports';
import { Platform } from '@zinniagrade/platform';
import type { Change, Configuration, Upstream } from '@zinniagrade/types';
import {
  createConfiguration,
  createUpstream,
  nodeSecret,
  accountSecret,
} from '../data-path/fixture.js';
import type { Policy } from '../proof.js';
import { Child } from './child.js';
import { waitUntil } from './http.js';

export interface FleetOptions {
  readonly policy: Policy;
  readonly nodes: number;
  readonly engines?: number;
  readonly services?: number;
  /** Nodes and upstreams are assigned to the data centres in round-robin order. */
  readonly dataCentres?: readonly string[];
  readonly platformSettings?: object;
  readonly nodeSettings?: object;
  readonly engineSettings?: object;
  readonly serviceSettings?: object;
  /**
   * Returns the port at which nodes reach an upstream, such as that of a proxy whose connections
   * can be reset.
   */
  readonly proxyPortFor?: (id: string, port: number) => Promise<number>;
}

/** A platform, upstreams and entry nodes, each in its own process. */
export interface Fleet {
  readonly platform: Child;
  readonly engines: readonly Child[];
  readonly services: readonly Child[];
  readonly nodes: readonly Child[];
  readonly configuration: Configuration;
  readonly callerPorts: readonly number[];
  /** Commits changes as an operator would. */
  readonly commit: (operationId: string, changes: readonly Change[]) => Promise<void>;
  readonly stop: () => Promise<void>;
}

const startTimeoutMs = 12_000;
const engineModel = { stepBaseMs: 15, stepPerStreamMs: 0, loadLagMs: 200 };
const naiveMain = '../naive/dist/data-path/main.js';
const naiveTimeouts = { idleMs: 500, callTimeoutMs: 2_000 };

/**
 * Finds distinct ports that are free now, so that nodes can be configured with the link ports of
 * other nodes before they start.
 */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
  const ports = new Set<number>();
  while (ports.size < count) {
    ports.add(await findFreePort('127.0.0.1'));
  }
  return [...ports];
};

/** The changes that turn an empty configuration into the given one. */
export const initialChanges = (configuration: Configuration): readonly Change[] => [
  ...Object.values(configuration.dataCentres).map((dataCentre): Change => ({
    kind: 'put-data-centre',
    dataCentre,
  })),
  ...Object.values(configuration.services).map((service): Change => ({
    kind: 'put-service',
    service,
  })),
  ...Object.values(configuration.versions).map((version): Change => ({
    kind: 'put-version',
    version,
  })),
  ...Object.values(configuration.upstreams).map((upstream): Change => ({
    kind: 'put-upstream',
    upstream,
  })),
  ...Object.values(configuration.clientAccounts).map((clientAccount): Change => ({
    kind: 'put-client-account',
    clientAccount,
  })),
];

const pickCyclic = <Value>(values: readonly Value[], index: number, fallback: Value): Value =>
  values[index % values.length] ?? fallback;

const startUpstreams = async (options: FleetOptions): Promise<readonly [Child[], Child[]]> => {
  const { engines = 0, services = 0, engineSettings = {}, serviceSettings = {} } = options;
  return Promise.all([
    Promise.all(
      Array.from({ length: engines }, (_, index) =>
        Child.create('engine-standin', `e${index}`, {
          port: 0,
          model: engineModel,
          ...engineSettings,
        }),
      ),
    ),
    Promise.all(
      Array.from({ length: services }, (_, index) =>
        Child.create('service-standin', `p${index}`, { port: 0, ...serviceSettings }),
      ),
    ),
  ]);
};

const describeUpstreams = async (
  { dataCentres = ['dc1'], proxyPortFor = (_id, port) => Promise.resolve(port) }: FleetOptions,
  engines: readonly Child[],
  services: readonly Child[],
): Promise<readonly Upstream[]> =>
  Promise.all(
    [...engines, ...services].map(async ({ name, ready }) => {
      const index = Number(name.slice(1));
      const port = await proxyPortFor(name, ready.port ?? 0);
      return createUpstream(name, port, name.startsWith('e') ? 'engine' : 'plain', {
        dataCentre: pickCyclic(dataCentres, index, 'dc1'),
      });
    }),
  );

const startCurrentNodes = async (
  { nodes, dataCentres = ['dc1'], nodeSettings = {} }: FleetOptions,
  platformPort: number,
): Promise<readonly Child[]> => {
  const linkPorts = await findFreePorts(nodes);
  const seeds = linkPorts.slice(0, 2).map((port) => ({ host: '127.0.0.1', port }));
  return Promise.all(
    linkPorts.map((linkPort, index) =>
      Child.create('entry', `n${index}`, {
        ...{ nodeId: `n${index}`, dataCentre: pickCyclic(dataCentres, index, 'dc1'), region: 'r' },
        ...{ host: '127.0.0.1', callerPort: 0, linkPort, seeds, nodeSecret },
        platform: { host: '127.0.0.1', port: platformPort },
        ...nodeSettings,
      }),
    ),
  );
};

const startNaiveNodes = (
  { nodes }: FleetOptions,
  platformPort: number,
  upstreams: readonly Upstream[],
): Promise<readonly Child[]> =>
  Promise.all(
    Array.from({ length: nodes }, (_, index) =>
      Child.create(naiveMain, `n${index}`, { port: 0, upstreams, platformPort, ...naiveTimeouts }),
    ),
  );

interface NodeStatus {
  readonly members: readonly { readonly status: string }[];
}

export const fetchStatus = async <Body>(callerPort: number): Promise<Body> => {
  const headers = { authorization: `Bearer acme.${accountSecret}` };
  const answer = await fetch(`http://127.0.0.1:${callerPort}/v1/status`, { headers });
  return (await answer.json()) as Body;
};

/** Waits until every node sees all nodes alive and has served one request of each kind. */
const waitUntilServing = async (fleet: Omit<Fleet, 'stop' | 'commit'>): Promise<void> => {
  const headers = { authorization: `Bearer acme.${accountSecret}` };
  const isOk = async (url: string, body: object): Promise<boolean> => {
    const answer = await fetch(url, { method: 'POST', headers, body: JSON.stringify(body) });
    const text = await answer.text();
    return answer.ok && !text.includes('event: error');
  };
  const isServing = async (port: number): Promise<boolean> => {
    const url = `http://127.0.0.1:${port}/v1/services`;
    const { members } = await fetchStatus<NodeStatus>(port);
    return (
      members.length === fleet.nodes.length &&
      members.every(({ status }) => status === 'alive') &&
      (fleet.services.length === 0 ||
        (await isOk(`${url}/notes/calls`, { operation: 'status', arguments: {} }))) &&
      (fleet.engines.length === 0 ||
        (await isOk(`${url}/reports/generations`, { prompt: 'tokens=1', maxTokens: 1 })))
    );
  };
  for (const port of fleet.callerPorts) {
    if (!(await waitUntil(() => isServing(port).catch(() => false), startTimeoutMs, 50))) {
      throw new Error(
        `a node did not serve requests within ${startTimeoutMs} ms: ${fleet.nodes.map((node) => node.stderr()).join()}`,
      );
    }
  }
};

export const Fleet = {
  /** Resolves once every node serves requests; naive nodes only have to listen. */
  create: async (options: FleetOptions): Promise<Fleet> => {
    const [platform, [engines, services]] = await Promise.all([
      Child.create('platform-standin', 'platform', { port: 0, ...options.platformSettings }),
      startUpstreams(options),
    ]);
    const platformPort = platform.ready.port ?? 0;
    const upstreams = await describeUpstreams(options, engines, services);
    const configuration = createConfiguration(upstreams, options.dataCentres);
    const clock = Clock.create();
    const client = Platform.create({ host: '127.0.0.1', port: platformPort }, clock);
    const commit = async (operationId: string, changes: readonly Change[]): Promise<void> => {
      (await commitChangeSet(client.store, { operationId, changes }, { clock })).ifLeft(
        ({ detail }) => {
          throw new Error(`the change set was not accepted: ${detail}`);
        },
      );
    };
    await commit('first', initialChanges(configuration));
    const nodes = await (options.policy === 'naive'
      ? startNaiveNodes(options, platformPort, upstreams)
      : startCurrentNodes(options, platformPort));
    const callerPorts = nodes.map(({ ready }) => ready.callerPort ?? 0);
    const parts = { platform, engines, services, nodes, configuration, callerPorts };
    if (options.policy === 'current') {
      await waitUntilServing(parts);
    }
    return {
      ...parts,
      commit,
      stop: async () => {
        await client.close();
        const all = [...nodes, ...engines, ...services, platform];
        await Promise.all(all.map((child) => child.kill()));
      },
    };
  },
};

/** Runs a test with a fleet and kills the processes of the fleet afterwards. */
export const withFleet = async <Result>(
  options: FleetOptions,
  run: (fleet: Fleet) => Promise<Result>,
): Promise<Result> => {
  const fleet = await Fleet.create(options);
  try {
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
};
