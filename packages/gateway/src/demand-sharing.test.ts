import { Random, VirtualClock } from '@zinniagrade/clock';
import type { WaitingRequest } from '@zinniagrade/serving';
import { expect } from 'chai';
import type { WaitingHere } from './demand-rows.js';
import { DemandSharing } from './demand-sharing.js';
import type { PeerTopic, RowFields } from './peer-topics.js';

const createRequest = (priority: number, tokens: number): WaitingRequest => ({
  ...{ id: 'one', priority, isReturn: false, account: 'shop', tokens },
  deadlineAtMs: 10_000,
});

describe('demand of other nodes', () => {
  const setUp = () => {
    const clock = VirtualClock.create();
    const rows: RowFields[] = [];
    const topics: PeerTopic[] = [];
    const waiting: WaitingHere[] = [];
    let isShared = true;
    const demand = DemandSharing.create(clock, Random.create(1), {
      peers: {
        openTopic: (opened) => {
          topics.push(opened);
          return (fields) => rows.push(fields);
        },
        isSharedByAll: () => isShared,
      },
      nodeCount: () => 2,
      waitingHere: () => waiting,
      onLess: () => undefined,
      serviceOf: () => 'text',
    });
    const use = (memoryTokens: number) => [
      { upstream: 'engine', requests: 1, promptTokens: 0, memoryTokens, copyTokens: 0 },
    ];
    return {
      ...{ clock, rows, waiting, demand, use, topic: topics[0] },
      setShared: (shared: boolean) => {
        isShared = shared;
      },
      ahead: (priority: number) =>
        demand.tokensAhead('text', createRequest(priority, 1000), () => 0),
    };
  };

  /** The row of a node at which one request of priority 1 waits. */
  const waitingRow = (): RowFields => {
    const { clock, rows, waiting, demand } = setUp();
    waiting.push({ request: createRequest(1, 4000), waitUntilMs: 1500 });
    demand.onWaitingChanged('text');
    clock.advance(20);
    expect(rows).to.have.length(1);
    return rows[0] ?? [];
  };

  it('counts for less urgent requests until it starts, ends, or its node is lost', () => {
    const row = waitingRow();
    const { clock, demand, use, topic, ahead } = setUp();
    demand.onPeerUse('other', use(0));
    expect(topic?.receive('other', row)).to.equal(true);
    expect([ahead(0), ahead(5)]).to.deep.equal([0, 4000]);
    demand.onPeerUse('other', use(4000));
    expect(ahead(5), 'after its start').to.equal(0);
    topic?.receive('other', row);
    topic?.onNodeLost?.('other');
    expect(ahead(5), 'after the loss of its node').to.equal(0);
    topic?.receive('other', row);
    clock.advance(1600);
    expect(ahead(5), 'after the time that it waits').to.equal(0);
  });

  it('counts for nothing while a node lacks the topic', () => {
    // Nodes of an earlier version neither tell what waits nor leave room for others.
    const { topic, ahead, setShared } = setUp();
    topic?.receive('other', waitingRow());
    setShared(false);
    expect(ahead(5)).to.equal(0);
  });

  it('is shared at most twice a second, and not for requests that start at once', () => {
    const { clock, rows, waiting, demand } = setUp();
    demand.onWaitingChanged('text');
    clock.advance(1000);
    expect(rows).to.deep.equal([]);
    for (let count = 0; count < 50; count += 1) {
      waiting.push({ request: createRequest(1, 10), waitUntilMs: 9000 });
      demand.onWaitingChanged('text');
      clock.advance(20);
    }
    expect(rows.length).to.be.within(2, 3);
  });

  it('keeps room for the urgent arrivals of all nodes', () => {
    const { clock, rows, demand, topic } = setUp();
    for (let count = 0; count < 10; count += 1) {
      demand.recordArrival('text', createRequest(0, 2000), 1000);
      clock.advance(100);
    }
    const room = demand.urgentRoom('text', 5);
    expect([room.tokens, room.tokensEach]).to.deep.equal([2000, 2000]);
    expect(room.tokensPerMs).to.be.closeTo(2, 1e-6);
    topic?.receive('other', rows[0] ?? []);
    expect(demand.urgentRoom('text', 5).tokens).to.equal(4000);
    expect(demand.urgentRoom('text', 0).tokens).to.equal(0);
  });

  it('assigns times to return by the memory that all nodes free, and tells what it promised', () => {
    const { clock, rows, demand, use, topic } = setUp();
    const refused = { priority: 5, tokens: 4000, maxWaitMs: 10_000 };
    expect(demand.promiseReturn('text', refused), 'without a rate').to.equal(undefined);
    for (let count = 0; count < 6; count += 1) {
      demand.onPeerUse('other', use(4000));
      demand.onPeerUse('other', use(0));
    }
    expect(demand.expectedWaitMs('text', 5, 4800)).to.be.closeTo(1000, 1);
    expect(demand.promiseReturn('text', refused)).to.be.within(600, 1400);
    clock.advance(20);
    expect(rows.at(-1)?.slice(0, 2)).to.deep.equal(['promised', 'text']);
    topic?.receive('other', ['promised', 'text', [[5, 24_000, 5000]]]);
    expect(demand.promiseReturn('text', refused)).to.be.greaterThan(5000);
  });

  it('rejects rows with invalid fields and ignores other kinds of rows', () => {
    const { topic } = setUp();
    expect(topic?.receive('other', ['waiting', 'text', [[1, 0]]])).to.equal(false);
    expect(topic?.receive('other', ['needs', 'text', [[1, -5, 3]]])).to.equal(false);
    expect(topic?.receive('other', ['of a later version'])).to.equal(true);
  });
});
