import { Topology, type TopologyNode } from '@zinniagrade/serving';
import { expect } from 'chai';
import { NodeExchange } from './node-exchange.js';
import type { NodeMessage } from './node-message.js';

/** Nodes with links as their topology asks for them, whose messages arrive when they are sent. */
interface Network {
  readonly names: readonly string[];
  readonly exchangeOf: (node: string) => NodeExchange;
  /** Memory tokens at the engine `e`, as a node has heard of them from another one. */
  readonly heardBy: (node: string, from: string) => number | undefined;
  readonly use: (node: string, memoryTokens: number) => void;
  /** Flushes all nodes so often that news has passed two relays. */
  readonly settle: () => void;
  readonly heartbeats: () => void;
  readonly kill: (node: string) => void;
  readonly sentBy: (node: string) => number;
}

const hops = 4;

const createNetwork = (count: number, dataCentres: number): Network => {
  const places = Array.from({ length: count }, (_, index): TopologyNode => ({
    node: `n${String(index).padStart(2, '0')}`,
    dataCentre: `d${String(index % dataCentres)}`,
    capacity: 1,
  }));
  const names = places.map(({ node }) => node);
  const topologies = new Map(places.map((place) => [place.node, Topology.create(place, places)]));
  const exchanges = new Map<string, NodeExchange>();
  const heard = new Map<string, number>();
  const uses = new Map<string, number>();
  const sent = new Map<string, number>();
  const dead = new Set<string>();

  const linkedOf = (node: string): readonly string[] =>
    [...(topologies.get(node)?.neighbours ?? [])].filter(
      (other) => !dead.has(other) && topologies.get(other)?.neighbours.has(node) === true,
    );

  const deliver = (from: string, to: readonly string[], message: NodeMessage): void => {
    for (const node of to) {
      sent.set(from, (sent.get(from) ?? 0) + 1);
      if (message.kind === 'state' && !dead.has(node)) {
        exchanges.get(node)?.receive(from, message);
      }
    }
  };

  const living = (): readonly string[] => names.filter((node) => !dead.has(node));
  const exchangeOf = (node: string): NodeExchange => {
    const exchange = exchanges.get(node);
    if (exchange === undefined) {
      throw new Error(`no node ${node}`);
    }
    return exchange;
  };

  for (const { node, dataCentre } of places) {
    exchanges.set(
      node,
      NodeExchange.create({
        node,
        dataCentre,
        incarnation: 1,
        nowMs: () => 0,
        topology: () =>
          topologies.get(node) ?? Topology.create({ node, dataCentre, capacity: 1 }, []),
        linked: () => linkedOf(node),
        send: (to, message) => {
          deliver(node, to, message);
        },
        ownUses: () => [
          {
            upstream: 'e',
            requests: 1,
            promptTokens: 0,
            memoryTokens: uses.get(node) ?? 0,
            copyTokens: 0,
          },
        ],
        storeAccess: () => 'fed',
        revision: () => 1,
        onState: (state) => {
          heard.set(`${node} ${state.node}`, state.uses[0]?.memoryTokens ?? 0);
        },
        onLoad: () => undefined,
        onReport: () => undefined,
        onGone: (gone) => {
          heard.delete(`${node} ${gone}`);
        },
      }),
    );
  }

  const settle = (): void => {
    for (let hop = 0; hop < hops; hop += 1) {
      for (const node of living()) {
        exchangeOf(node).flush();
      }
    }
  };

  return {
    names,
    exchangeOf,
    heardBy: (node, from) => heard.get(`${node} ${from}`),
    use: (node, memoryTokens) => {
      uses.set(node, memoryTokens);
      exchangeOf(node).changed();
    },
    settle,
    heartbeats: () => {
      for (const node of living()) {
        exchangeOf(node).heartbeat();
      }
      settle();
    },
    kill: (node) => {
      dead.add(node);
      for (const other of living()) {
        if (topologies.get(other)?.neighbours.has(node) === true) {
          exchangeOf(other).onLinkLost(node);
          exchangeOf(other).onLinkOpen();
        }
      }
    },
    sentBy: (node) => sent.get(node) ?? 0,
  };
};

for (const [count, dataCentres] of [
  [8, 3],
  [40, 4],
] as const) {
  describe(`node exchange with ${String(count)} nodes`, () => {
    it('brings the news of each node to all others', () => {
      const network = createNetwork(count, dataCentres);
      network.heartbeats();
      network.use('n05', 700);
      network.settle();
      for (const node of network.names) {
        if (node !== 'n05') {
          expect(network.heardBy(node, 'n05'), node).to.equal(700);
        }
      }
    });

    it('hears from all nodes, also those without a connection', () => {
      // Guards against a directory that names only the nodes with a direct connection.
      const network = createNetwork(count, dataCentres);
      network.heartbeats();
      network.heartbeats();
      for (const node of network.names) {
        expect(network.exchangeOf(node).alive().size, node).to.equal(count - 1);
      }
    });

    it('goes on when the first relays have died, and forgets them', () => {
      const network = createNetwork(count, dataCentres);
      network.heartbeats();
      network.heartbeats();
      for (const node of ['n00', 'n01']) {
        network.kill(node);
      }
      network.heartbeats();
      network.heartbeats();
      network.use('n05', 900);
      network.settle();
      for (const node of network.names.slice(2)) {
        if (node !== 'n05') {
          expect(network.heardBy(node, 'n05'), node).to.equal(900);
        }
        expect(network.exchangeOf(node).alive().has('n00'), node).to.equal(false);
        expect(network.heardBy(node, 'n01'), node).to.equal(undefined);
      }
    });
  });
}

describe('node exchange over relays', () => {
  it('sends one message for each change of a node that is no relay', () => {
    // Load pattern: 87 nodes, each of which told all others of each change.
    const network = createNetwork(87, 4);
    network.heartbeats();
    const before = network.sentBy('n80');
    network.use('n80', 1);
    network.settle();
    expect(network.sentBy('n80') - before).to.equal(1);
  });
});
