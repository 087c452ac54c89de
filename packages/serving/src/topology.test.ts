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
    // Load pattern: 87 nodes that announced each request to all others spent a tenth of their
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
      expect(followsStore(topologyOf(nodes, index), node, 6)).to.equal(true);
    }
  });

  it('lets relays watch the store for the others, unless fewer than two other nodes do', () => {
    const nodes = createNodes(87, 4);
    const topology = topologyOf(nodes, 0);
    expect(topology.relays).to.have.length(8);
    for (const relay of topology.relays) {
      expect(followsStore(topology, relay, 7)).to.equal(true);
    }
    expect(followsStore(topology, 'n050', 8)).to.equal(false);
    expect(followsStore(topology, 'n050', 1)).to.equal(true);
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
