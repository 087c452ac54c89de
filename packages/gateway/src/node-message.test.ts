import { Decoder, Encoder } from 'cbor-x';
import { expect } from 'chai';
import { anything, assert, constantFrom, property } from 'fast-check';
import { decodeNodeMessage, encodeNodeMessage, type NodeMessage } from './node-message.js';

const state: NodeMessage = {
  kind: 'state',
  nodes: [
    {
      node: 'n1',
      incarnation: 5,
      sequence: 7,
      store: 'fed',
      uses: [{ upstream: 'e', requests: 1, promptTokens: 2, memoryTokens: 3.5, copyTokens: 0 }],
      cutOff: ['app'],
      topics: ['usage'],
    },
    { node: 'n2', incarnation: 5, sequence: 7, store: 'fed', uses: [], cutOff: [] },
    // Forwarded for a node of an earlier version.
    { node: 'n3', incarnation: 5, sequence: 7, store: 'fed', uses: [] },
  ],
  loads: [
    {
      node: 'n1',
      upstream: 'e',
      ageMs: 0,
      load: { running: 1, waiting: 2, usedTokens: 3, totalTokens: 4, leaving: true, leavesInMs: 5 },
    },
  ],
  reports: [],
  findings: [
    {
      node: 'n1',
      keys: ['a1', 'b2'],
      ageMs: 5,
      loss: { upstream: 'e', witness: 'n2', tookMs: 7 },
    },
    { node: 'n2', keys: ['a1'], ageMs: 0 },
  ],
  limits: [
    { node: 'n1', upstream: 'e', perSecond: 2.5, ageMs: 4, earlierSends: 3 },
    { node: 'n2', upstream: 'e', ageMs: 0, earlierSends: 0 },
  ],
  rows: [{ node: 'n1', topic: 'usage', fields: [7, ['a', 3]] }],
  alive: ['n1', 'n2'],
  revision: 9,
  storeAvailableForMs: 1200,
};

const overWire = (message: unknown): unknown => new Decoder().decode(new Encoder().encode(message));

describe('node message', () => {
  it('is read as it was written', () => {
    expect(decodeNodeMessage(overWire(encodeNodeMessage(state)))).to.deep.equal(state);
  });

  it('tells a node of an earlier version from one that reaches all services', () => {
    // Guards against requests that are passed on to nodes that can't serve them for others.
    const wire = encodeNodeMessage(state) as Record<string, unknown>;
    const rowOfEarlierVersion = ['n1', 5, 7, 1, [['e', 1, 2, 3.5, 0]]];
    const read = decodeNodeMessage(overWire({ ...wire, nodes: [rowOfEarlierVersion] }));
    const nodes = read?.kind === 'state' ? read.nodes : [];
    expect(nodes).to.have.length(1);
    expect(nodes[0]).to.not.have.property('cutOff');
  });

  it('has the fields of a state that an earlier version reads where that version reads them', () => {
    // Guards against nodes of two versions that don't understand each other during a restart.
    const { nodes } = overWire(encodeNodeMessage(state)) as { nodes: readonly unknown[][] };
    expect(nodes[0]?.slice(0, 5)).to.deep.equal(['n1', 5, 7, 1, [['e', 1, 2, 3.5, 0]]]);
  });

  it('is read without topics from a node that sends none', () => {
    // Guards against features that count on data which a node of an earlier version never sends.
    const { rows, ...earlier } = encodeNodeMessage(state) as Record<string, unknown>;
    expect(rows).to.have.length(1);
    const row = ['n1', 5, 7, 1, [], ['app']];
    const read = decodeNodeMessage(overWire({ ...earlier, nodes: [row] }));
    expect(read).to.have.property('rows').that.deep.equals([]);
    expect(read?.kind === 'state' ? read.nodes[0] : undefined).to.not.have.property('topics');
  });

  it('is ignored if any part of it is malformed', () => {
    // Guards against a message that ends the process of the node that reads it.
    const wire = encodeNodeMessage(state) as Record<string, unknown>;
    const field = constantFrom(
      'nodes',
      'loads',
      'reports',
      'findings',
      'limits',
      'rows',
      'alive',
      'revision',
    );
    assert(
      property(field, anything(), (name, value) => {
        decodeNodeMessage({ ...wire, [name]: value });
        decodeNodeMessage({ ...wire, [name]: [value] });
        decodeNodeMessage({ ...wire, [name]: [[value, value, value, value, [[value]]]] });
      }),
      { seed: 19, numRuns: 500 },
    );
    expect(decodeNodeMessage({ ...wire, nodes: [['n1', 1, 1, 9, []]] })).to.equal(undefined);
    expect(decodeNodeMessage({ ...wire, nodes: [['n1', 1, 1, 1, [], 'app']] })).to.equal(undefined);
    expect(decodeNodeMessage({ ...wire, nodes: [['n1', 1, 1, 1, [], [7]]] })).to.equal(undefined);
    expect(decodeNodeMessage({ ...wire, nodes: [['n1', 1, 1, 1, [], [], 7]] })).to.equal(undefined);
    expect(decodeNodeMessage({ ...wire, rows: [['n1', 'usage', 7]] })).to.equal(undefined);
    expect(decodeNodeMessage({ ...wire, revision: '1' })).to.equal(undefined);
    expect(decodeNodeMessage(null)).to.equal(undefined);
    expect(decodeNodeMessage({ kind: 'other' })).to.equal(undefined);
  });
});
