import { expect } from 'chai';
import { chooseAddresses, type DirectoryInput } from './directory.js';

const createState = (part: Partial<DirectoryInput>): DirectoryInput => ({
  node: 'n1',
  ownAddress: '10.0.0.1:80',
  ready: true,
  nodes: [
    { node: 'n1', dataCentre: 'a', callerAddress: '10.0.0.1:80', leaving: false, capacity: 1 },
    { node: 'n2', dataCentre: 'a', callerAddress: '10.0.0.2:80', leaving: false, capacity: 1 },
    { node: 'n3', dataCentre: 'b', callerAddress: '10.0.0.3:80', leaving: true, capacity: 1 },
  ],
  connected: new Set(['n2', 'n3']),
  cutOff: new Set(),
  linksSettled: true,
  ...part,
});

describe('directory', () => {
  it('lists ready nodes from which messages arrive', () => {
    expect(chooseAddresses(createState({}))).to.deep.equal(['10.0.0.1:80', '10.0.0.2:80']);
  });

  it('omits a dead node whose registration stays while the store is unavailable', () => {
    expect(chooseAddresses(createState({ connected: new Set() }))).to.deep.equal(['10.0.0.1:80']);
  });

  it('relies on registrations alone until links have had time to open', () => {
    const state = createState({ connected: new Set(), linksSettled: false });
    expect(chooseAddresses(state)).to.deep.equal(['10.0.0.1:80', '10.0.0.2:80']);
  });

  it('lists its own address only while it is ready', () => {
    expect(chooseAddresses(createState({ ready: false }))).to.deep.equal(['10.0.0.2:80']);
  });

  it('omits nodes that reach no upstream, its own included, as long as another is left', () => {
    // Guards against callers that go on to connect to nodes that reach nothing.
    expect(chooseAddresses(createState({ cutOff: new Set(['n1']) }))).to.deep.equal([
      '10.0.0.2:80',
    ]);
    expect(chooseAddresses(createState({ cutOff: new Set(['n2']) }))).to.deep.equal([
      '10.0.0.1:80',
    ]);
  });

  it('lists all nodes when none of those left reaches an upstream', () => {
    // Guards against an empty directory while all upstreams are away.
    const cutOff = new Set(['n1', 'n2']);
    expect(chooseAddresses(createState({ cutOff }))).to.deep.equal(['10.0.0.1:80', '10.0.0.2:80']);
    // The only node that isn't cut off is leaving, or sends no messages.
    const alone = createState({ cutOff: new Set(['n1']), connected: new Set() });
    expect(chooseAddresses(alone)).to.deep.equal(['10.0.0.1:80']);
  });
});
