import { expect } from 'chai';
import { PeerUse, type UpstreamUse } from './peer-use.js';

const useOf = (upstream: string, requests: number): UpstreamUse => ({
  upstream,
  requests,
  promptTokens: 10 * requests,
  memoryTokens: 100 * requests,
  copyTokens: 0,
});

describe('peer use', () => {
  it('sums what the other nodes last said', () => {
    const peers = PeerUse.create();
    peers.update('n1', [useOf('e1', 1), useOf('e2', 2)]);
    peers.update('n2', [useOf('e1', 4)]);
    expect(peers.at('e1')).to.deep.equal(useOf('e1', 5));
    peers.update('n1', [useOf('e2', 1)]);
    expect(peers.at('e1')).to.deep.equal(useOf('e1', 4));
    expect(peers.at('e2')).to.deep.equal(useOf('e2', 1));
  });

  it('forgets a node that is no longer heard of', () => {
    // Guards against engines that seem full for ever because of a node that died.
    const peers = PeerUse.create();
    peers.update('n1', [useOf('e1', 3)]);
    peers.forget('n1');
    expect(peers.at('e1')).to.deep.equal(useOf('e1', 0));
  });
});
