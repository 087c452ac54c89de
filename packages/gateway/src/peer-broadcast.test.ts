import { Topology, type TopologyNode } from '@zinniagrade/serving';
import { expect } from 'chai';
import { PeerBroadcast } from './peer-broadcast.js';
import { PeerTopics } from './peer-topics.js';
import type { NodeMessage } from './node-message.js';

/** Nodes linked as their topology requires, with synchronous delivery of messages. */
interface Network {
  readonly names: readonly string[];
  readonly exchangeOf: (node: string) => PeerBroadcast;
  /** Memory tokens that `from` uses at the engine `e`, as known to `node`. */
  readonly memoryTokensKnownTo: (node: string, from: string) => number | undefined;
  /** Row of the topic `colour` that `node` last got from `from`. */
  readonly colourKnownTo: (node: string, from: string) => string | undefined;
  readonly setMemoryTokens: (node: string, memoryTokens: number) => void;
  /** Sets the services of which the node reaches no upstream. */
  readonly setCutOff: (node: string, services: readonly string[]) => void;
  /** Flushes all nodes until updates have been forwarded by two relays. */
  readonly flushAll: () => void;
  readonly sendHeartbeats: () => void;
  readonly kill: (node: string) => void;
  readonly messagesSentBy: (node: string) => number;
  /** States of nodes in all messages so far. */
  readonly statesSent: () => number;
}

const flushRounds = 4;

const createNetwork = (count: number, dataCentres: number): Network => {
  const places = Array.from({ length: count }, (_, index): TopologyNode => ({
    node: `n${String(index).padStart(2, '0')}`,
    dataCentre: `d${String(index % dataCentres)}`,
    capacity: 1,
  }));
  const names = places.map(({ node }) => node);
  const topologies = new Map(places.map((place) => [place.node, Topology.create(place, places)]));
  const exchanges = new Map<string, PeerBroadcast>();
  const memoryTokensByPair = new Map<string, number>();
  const uses = new Map<string, number>();
  const cutOff = new Map<string, readonly string[]>();
  const colours = new Map<string, string>();
  const sent = new Map<string, number>();
  const dead = new Set<string>();
  let statesSent = 0;

  const linkedOf = (node: string): readonly string[] =>
    [...(topologies.get(node)?.neighbours ?? [])].filter(
      (other) => !dead.has(other) && topologies.get(other)?.neighbours.has(node) === true,
    );

  const deliver = (from: string, to: readonly string[], message: NodeMessage): void => {
    for (const node of to) {
      sent.set(from, (sent.get(from) ?? 0) + 1);
      if (message.kind === 'state' && !dead.has(node)) {
        statesSent += message.nodes.length;
        exchanges.get(node)?.receive(from, message);
      }
    }
  };

  const aliveNodes = (): readonly string[] => names.filter((node) => !dead.has(node));
  const exchangeOf = (node: string): PeerBroadcast => {
    const exchange = exchanges.get(node);
    if (exchange === undefined) {
      throw new Error(`no node ${node}`);
    }
    return exchange;
  };

  for (const { node, dataCentre } of places) {
    const topics = PeerTopics.create(() => undefined);
    topics.open({
      name: 'colour',
      receive: (from, [colour]) => {
        colours.set(`${node} ${from}`, String(colour));
        return true;
      },
      snapshot: () => [['snapshot']],
    });
    exchanges.set(
      node,
      PeerBroadcast.create({
        node,
        dataCentre,
        incarnation: 1,
        nowMs: () => 0,
        topology: () =>
          topologies.get(node) ?? Topology.create({ node, dataCentre, capacity: 1 }, []),
        linkedNodes: () => linkedOf(node),
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
        cutOffServices: () => cutOff.get(node) ?? [],
        storeAccess: () => 'fed',
        revision: () => 1,
        digest: () => 0,
        storeAvailableForMs: () => 0,
        onState: (state) => {
          memoryTokensByPair.set(`${node} ${state.node}`, state.uses[0]?.memoryTokens ?? 0);
        },
        onLoad: () => undefined,
        onReport: () => undefined,
        onFinding: () => undefined,
        findings: () => [],
        onLimit: () => undefined,
        limits: () => [],
        topics,
        onNodeLost: (gone) => {
          memoryTokensByPair.delete(`${node} ${gone}`);
        },
      }),
    );
  }

  const flushAll = (): void => {
    for (let hop = 0; hop < flushRounds; hop += 1) {
      for (const node of aliveNodes()) {
        exchangeOf(node).flush();
      }
    }
  };

  return {
    names,
    exchangeOf,
    memoryTokensKnownTo: (node, from) => memoryTokensByPair.get(`${node} ${from}`),
    colourKnownTo: (node, from) => colours.get(`${node} ${from}`),
    setMemoryTokens: (node, memoryTokens) => {
      uses.set(node, memoryTokens);
      exchangeOf(node).markStateChanged();
    },
    setCutOff: (node, services) => {
      cutOff.set(node, services);
      exchangeOf(node).markStateChanged();
    },
    flushAll,
    sendHeartbeats: () => {
      for (const node of aliveNodes()) {
        exchangeOf(node).heartbeat();
      }
      flushAll();
    },
    kill: (node) => {
      dead.add(node);
      for (const other of aliveNodes()) {
        if (topologies.get(other)?.neighbours.has(node) === true) {
          exchangeOf(other).onLinkLost(node);
        }
      }
    },
    messagesSentBy: (node) => sent.get(node) ?? 0,
    statesSent: () => statesSent,
  };
};

for (const [count, dataCentres] of [
  [8, 3],
  [40, 4],
] as const) {
  describe(`peer broadcast with ${String(count)} nodes`, () => {
    it('delivers updates of each node to all others', () => {
      const network = createNetwork(count, dataCentres);
      network.sendHeartbeats();
      network.setMemoryTokens('n05', 700);
      network.flushAll();
      for (const node of network.names) {
        if (node !== 'n05') {
          expect(network.memoryTokensKnownTo(node, 'n05'), node).to.equal(700);
        }
      }
    });

    it('tells all nodes which services each of the others reaches', () => {
      // Guards against nodes behind relays that don't know who could serve for them.
      const network = createNetwork(count, dataCentres);
      network.sendHeartbeats();
      network.setCutOff('n05', ['app']);
      network.flushAll();
      for (const node of network.names) {
        const states = network.exchangeOf(node).states();
        for (const other of network.names) {
          const expected = other === 'n05' ? ['app'] : [];
          expect(states.get(other)?.cutOff, `${other} at ${node}`).to.deep.equal(expected);
        }
      }
    });

    it('delivers a row of a topic to all other nodes', () => {
      // Guards against nodes behind relays that miss what others share.
      const network = createNetwork(count, dataCentres);
      network.sendHeartbeats();
      network.exchangeOf('n05').shareRow('colour', ['red']);
      network.exchangeOf('n05').shareRow('unknown topic', []);
      network.flushAll();
      for (const node of network.names) {
        const expected = node === 'n05' ? undefined : 'red';
        expect(network.colourKnownTo(node, 'n05'), node).to.equal(expected);
      }
    });

    it('counts all nodes as alive, also those without a direct connection', () => {
      // Guards against a directory that lists only directly connected nodes.
      const network = createNetwork(count, dataCentres);
      network.sendHeartbeats();
      network.sendHeartbeats();
      for (const node of network.names) {
        expect(network.exchangeOf(node).aliveNodes().size, node).to.equal(count - 1);
      }
    });

    it('fails over when the first relays have died, and removes them', () => {
      const network = createNetwork(count, dataCentres);
      network.sendHeartbeats();
      network.sendHeartbeats();
      for (const node of ['n00', 'n01']) {
        network.kill(node);
      }
      network.sendHeartbeats();
      network.sendHeartbeats();
      network.setMemoryTokens('n05', 900);
      network.flushAll();
      for (const node of network.names.slice(2)) {
        if (node !== 'n05') {
          expect(network.memoryTokensKnownTo(node, 'n05'), node).to.equal(900);
        }
        expect(network.exchangeOf(node).aliveNodes().has('n00'), node).to.equal(false);
        expect(network.memoryTokensKnownTo(node, 'n01'), node).to.equal(undefined);
      }
    });
  });
}

describe('peer broadcast via relays', () => {
  it('sends the rows of a relay to a node that joins', () => {
    // Guards against nodes that know nothing of a topic until its data changes.
    const network = createNetwork(40, 4);
    network.sendHeartbeats();
    expect(network.colourKnownTo('n39', 'n03')).to.equal('snapshot');
  });

  it('sends one message for each change of a node that is not a relay', () => {
    // Guards against 87 nodes that each send every change to all others.
    const network = createNetwork(87, 4);
    network.sendHeartbeats();
    const before = network.messagesSentBy('n80');
    network.setMemoryTokens('n80', 1);
    network.flushAll();
    expect(network.messagesSentBy('n80') - before).to.equal(1);
  });

  it('sends no states while nothing changes', () => {
    // Guards against nodes at rest that read the states of all others twice a second.
    const network = createNetwork(87, 4);
    network.sendHeartbeats();
    network.sendHeartbeats();
    const before = network.statesSent();
    network.sendHeartbeats();
    expect(network.statesSent() - before).to.equal(0);
  });
});
