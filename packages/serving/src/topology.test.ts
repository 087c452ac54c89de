import { expect } from 'chai';
import { followsStore, Topology, type TopologyNode } from './topology.js';

const createNodes = (count: number, dataCentres: number): readonly TopologyNode[] =>
  Array.from({ length: count }, (_, index) => ({
    node: `n${String(index).padStart(3, '0')}`,
    dataCentre: `d${String(index % dataCentres)}`,
    capacity: index >= count - dataCentres ? 1.35 : 0.3,
  }));

const topologyOf = (nodes: readonly TopologyNode[], index: number): Topology => {
  const own = nodes[index];
  if (own === undefined) {
    throw new Error('no such node');
  }
  return Topology.create(own, nodes);
};

describe('topology', () => {
  it('connects a small number of nodes in a full mesh', () => {
    const nodes = createNodes(8, 3);
    const { isMesh, neighbours } = topologyOf(nodes, 0);
    expect(isMesh).to.equal(true);
    expect(neighbours.size).to.equal(7);
  });

  it('limits the connections of each node when there are many nodes', () => {
    // Guards against 87 nodes that announced each request to all others spent a tenth of their
    // processor time on that.
    const nodes = createNodes(87, 4);
    for (const [index, { dataCentre }] of nodes.entries()) {
      const { isMesh, neighbours, relaysOf } = topologyOf(nodes, index);
      expect(isMesh).to.equal(false);
      const isRelay = relaysOf(dataCentre).includes(nodes[index]?.node ?? '');
      expect(neighbours.size).to.be.at.most(isRelay ? 22 + 6 : 2);
    }
  });

  it('selects the nodes of largest capacity as relays, the same at every node', () => {
    const nodes = createNodes(87, 4);
    const first = topologyOf(nodes, 0);
    for (const dataCentre of first.dataCentres) {
      expect(first.relaysOf(dataCentre)).to.deep.equal(topologyOf(nodes, 50).relaysOf(dataCentre));
      const [relay] = first.relaysOf(dataCentre);
      expect(nodes.find(({ node }) => node === relay)?.capacity).to.equal(1.35);
    }
  });

  it('lets every node of a full mesh watch the store, however many others do', () => {
    // Regression (store-followers --seed 702718773971): the store stopped answering half of seven
    // nodes, including all three that watched it, and the others learned of a revoked key after 2
    // s.
    const nodes = createNodes(7, 4);
    for (const [index, { node }] of nodes.entries()) {
      const followers = { watching: 6, canFollow: () => true };
      expect(followsStore(topologyOf(nodes, index), node, followers)).to.equal(true);
    }
  });

  it('lets three relays of different data centres watch the store for all nodes', () => {
    // Guards against calls to the store that grow with the number of nodes: each change answered
    // the watches of two relays in each data centre.
    const nodes = createNodes(195, 6);
    const followers = { watching: 3, canFollow: () => true };
    const following = nodes.filter(({ node }, index) =>
      followsStore(topologyOf(nodes, index), node, followers),
    );
    expect(following).to.have.length(3);
    expect(new Set(following.map(({ dataCentre }) => dataCentre)).size).to.equal(3);
  });

  it('replaces relays that are gone or have lost the store by the next ones', () => {
    const nodes = createNodes(195, 6);
    const { relays } = topologyOf(nodes, 0);
    expect(relays).to.have.length(12);
    const lost = new Set(relays.slice(0, 2));
    const followers = { watching: 2, canFollow: (node: string) => !lost.has(node) };
    const following = relays.filter((relay) =>
      followsStore(
        topologyOf(
          nodes,
          nodes.findIndex(({ node }) => node === relay),
        ),
        relay,
        followers,
      ),
    );
    expect(following).to.deep.equal(relays.slice(0, 5));
  });

  it('lets any node watch the store if fewer than two other nodes do', () => {
    const nodes = createNodes(87, 4);
    const topology = topologyOf(nodes, 50);
    const canFollow = (): boolean => true;
    expect(followsStore(topology, 'n050', { watching: 3, canFollow })).to.equal(false);
    expect(followsStore(topology, 'n050', { watching: 1, canFollow })).to.equal(true);
  });

  it('gives the same connections at both ends', () => {
    const nodes = createNodes(87, 4);
    const topologies = new Map(nodes.map(({ node }, index) => [node, topologyOf(nodes, index)]));
    for (const [node, { neighbours }] of topologies) {
      for (const neighbour of neighbours) {
        expect(topologies.get(neighbour)?.neighbours.has(node)).to.equal(true);
      }
    }
  });
});
