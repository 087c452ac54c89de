import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { AccountSharing } from './account-sharing.js';
import type { PeerTopic, RowFields } from './peer-topics.js';

describe('tokens in flight of client accounts', () => {
  const setUp = () => {
    const clock = VirtualClock.create();
    const rows: RowFields[] = [];
    const topics: PeerTopic[] = [];
    let isWaitedFor = true;
    let isShared = true;
    const accounts = AccountSharing.create(clock, {
      peers: {
        openTopic: (opened) => {
          topics.push(opened);
          return (fields) => rows.push(fields);
        },
        isSharedByAll: () => isShared,
      },
      nodeCount: () => 2,
      isWaitedFor: () => isWaitedFor,
    });
    return {
      ...{ clock, rows, accounts, topic: topics[0] },
      setWaitedFor: (waited: boolean) => {
        isWaitedFor = waited;
      },
      setShared: (shared: boolean) => {
        isShared = shared;
      },
    };
  };

  it('are those of all nodes, without nodes that are lost', () => {
    const { accounts, topic } = setUp();
    accounts.add('text', 'shop', 1000);
    expect(topic?.receive('other', ['text', [['shop', 4000]]])).to.equal(true);
    expect(accounts.tokensOf('text', 'shop')).to.equal(5000);
    topic?.receive('other', ['text', [['shop', 3000]]]);
    expect(accounts.tokensOf('text', 'shop')).to.equal(4000);
    topic?.onNodeLost?.('other');
    accounts.add('text', 'shop', -1000);
    expect(accounts.tokensOf('text', 'shop')).to.equal(0);
  });

  it('are shared on change, and only while requests wait', () => {
    // Guards against control traffic on days without load.
    const { clock, rows, accounts, setWaitedFor } = setUp();
    setWaitedFor(false);
    accounts.add('text', 'shop', 1000);
    clock.advance(5000);
    expect(rows).to.deep.equal([]);
    setWaitedFor(true);
    clock.advance(5000);
    expect(rows).to.deep.equal([['text', [['shop', 1000]]]]);
    accounts.add('text', 'shop', 50);
    clock.advance(5000);
    expect(rows).to.have.length(1);
  });

  it('do not count between nodes while a node lacks the topic', () => {
    const { accounts, setShared } = setUp();
    accounts.add('text', 'shop', 1000);
    expect(accounts.stepOf('text', 'shop')).to.be.greaterThan(accounts.stepOf('text', 'other'));
    setShared(false);
    expect(accounts.stepOf('text', 'shop')).to.equal(0);
    expect(accounts.tokensOf('text', 'shop')).to.equal(1000);
  });

  it('are taken from valid rows only', () => {
    const { accounts, topic } = setUp();
    expect(topic?.receive('other', ['text', [['shop', -1]]])).to.equal(false);
    expect(accounts.tokensOf('text', 'shop')).to.equal(0);
  });
});
