import { expect } from 'chai';
import { PeerUse, type UpstreamUse } from './peer-use.js';

const createUse = (upstream: string, requests: number): UpstreamUse => ({
  upstream,
  requests,
  promptTokens: 10 * requests,
  memoryTokens: 100 * requests,
  copyTokens: 0,
});

describe('peer use', () => {
  it('sums the latest announcements of the other nodes', () => {
    const peers = PeerUse.create();
    peers.update('n1', [createUse('e1', 1), createUse('e2', 2)]);
    peers.update('n2', [createUse('e1', 4)]);
    expect(peers.totalFor('e1')).to.deep.equal(createUse('e1', 5));
    peers.update('n1', [createUse('e2', 1)]);
    expect(peers.totalFor('e1')).to.deep.equal(createUse('e1', 4));
    expect(peers.totalFor('e2')).to.deep.equal(createUse('e2', 1));
  });

  it('removes the use of an unreachable node', () => {
    // Guards against engines that seem full forever because of a node that died.
    const peers = PeerUse.create();
    peers.update('n1', [createUse('e1', 3)]);
    peers.forget('n1');
    expect(peers.totalFor('e1')).to.deep.equal(createUse('e1', 0));
  });
});
