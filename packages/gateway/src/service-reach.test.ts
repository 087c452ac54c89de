import { Random, VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { ClusterState } from './cluster-state.js';
import { Log } from './log.js';
import { ServiceReach, type WatchedReach } from './service-reach.js';
import type { UpstreamClient } from './upstream-client.js';

const clock = VirtualClock.create();
const log = Log.createSilent();

/** The reach of node n1, where other nodes announce that they are cut off from these services. */
const createReach = (
  announced: Readonly<Record<string, readonly string[]>>,
  leaving: readonly string[] = [],
  dead: readonly string[] = [],
): WatchedReach => {
  const cluster = ClusterState.create(log);
  const nodes = ['n1', 'n2', 'n3', 'n4'];
  for (const node of nodes) {
    const entry = {
      node,
      dataCentre: 'a',
      callerAddress: `${node}:1`,
      capacity: 1,
      leaving: leaving.includes(node),
    };
    cluster.apply({ kind: 'node', node, entry }, 1, 0);
  }
  for (const service of ['app', 'engine']) {
    cluster.fleet.register(
      {
        id: `${service}-1`,
        service,
        address: `${service}:1`,
        dataCentre: 'a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldLeftMs: 0,
      },
      0,
    );
  }
  return ServiceReach.create(clock, Random.create(1), log, cluster, {
    node: 'n1',
    client: { canConnect: () => Promise.resolve(true) } as unknown as UpstreamClient,
    peers: {
      aliveNodes: () => new Set(nodes.filter((node) => node !== 'n1' && !dead.includes(node))),
      cutOffServicesOf: (node) => announced[node],
      onReachChanged: () => undefined,
    },
  });
};

const names = (reach: WatchedReach, service: string): readonly string[] =>
  reach.nodesReaching(service).map(({ node }) => node);

describe('reach of services', () => {
  it('names other nodes that reach a service', () => {
    const reach = createReach({ n1: [], n2: ['app'], n3: [], n4: ['engine'] });
    expect(names(reach, 'app')).to.deep.equal(['n3', 'n4']);
    expect(names(reach, 'engine')).to.deep.equal(['n2', 'n3']);
  });

  it('names no node of an earlier version, none that leaves and none that is dead', () => {
    // Guards against requests passed on to nodes that don't serve them.
    expect(names(createReach({ n3: [], n4: [] }, ['n3']), 'app')).to.deep.equal(['n4']);
    expect(names(createReach({ n2: [], n3: [], n4: [] }, [], ['n2']), 'app')).to.deep.equal([
      'n3',
      'n4',
    ]);
  });

  it('tells the nodes that are cut off from all services', () => {
    const reach = createReach({ n2: ['app', 'engine'], n3: ['app'] });
    expect([...reach.cutOffNodes()]).to.deep.equal(['n2']);
    expect(reach.isCutOffFromAll()).to.equal(false);
  });
});
