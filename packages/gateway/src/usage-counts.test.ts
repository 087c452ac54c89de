import { Random, VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import type { Call } from './call.js';
import type { PeerTopic, RowFields } from './peer-topics.js';
import { UsageCounts } from './usage-counts.js';

const windowMs = 5000;

const createCounts = (node: string) => {
  const clock = VirtualClock.create(1_700_000_000_000);
  const shared: RowFields[] = [];
  let topic: PeerTopic | undefined;
  const counts = UsageCounts.create(clock, Random.create(1), {
    node,
    incarnation: 1,
    windowMs,
    lateMs: 10_000,
    nodeCount: () => 2,
    openTopic: (opened) => {
      topic = opened;
      return (fields) => shared.push(fields);
    },
  });
  return {
    clock,
    shared,
    counts,
    window: () => Math.floor(clock.wallMs() / windowMs),
    receive: (sender: string, row: RowFields) => topic?.receive(sender, row),
    snapshot: () => topic?.snapshot() ?? [],
  };
};
const createCall = (account?: string): Call =>
  (account === undefined ? {} : { account: { name: account } }) as unknown as Call;

describe('counts of begun requests', () => {
  it('hold a request once, whatever number of upstreams begin to run it', () => {
    // Guards against streams that count again at each engine they go on at.
    const { counts, window } = createCounts('n1');
    const call = createCall('shop');
    counts.countBegun(call);
    counts.countBegun(call);
    counts.countBegun(createCall('shop'));
    counts.countBegun(createCall());
    expect([...counts.totals(window())]).to.deep.equal([['shop', 2]]);
  });

  it('are shared within the window and after its end, only if they grew', () => {
    // Guards against a killed node that takes a whole window with it, and against idle traffic.
    const { clock, counts, shared } = createCounts('n1');
    clock.advance(2 * windowMs);
    const idle = shared.length;
    counts.countBegun(createCall('shop'));
    clock.advance(2000);
    counts.countBegun(createCall('shop'));
    clock.advance(3 * windowMs);
    expect([idle, shared.length]).to.deep.equal([1, 3]);
    expect(shared.at(-1)?.at(-1)).to.deep.equal({ shop: 2 });
  });

  it('reach a node that joins through one neighbour', () => {
    // Guards against a holder that started late and reports a part of the counts.
    const [origin, relay, joined] = [createCounts('n1'), createCounts('n2'), createCounts('n3')];
    origin.counts.countBegun(createCall('shop'));
    relay.counts.countBegun(createCall('shop'));
    for (const row of origin.snapshot()) {
      relay.receive('n1', row);
    }
    for (const row of relay.snapshot()) {
      joined.receive('n2', row);
    }
    expect([...joined.counts.totals(joined.window())]).to.deep.equal([['shop', 2]]);
  });

  it('are not spoilt by rows of other versions', () => {
    // Guards against a row that stops all reports by its form or by a window far ahead.
    const { counts, receive, window } = createCounts('n1');
    expect(receive('n2', ['n2', 1, 'x'])).to.equal(false);
    expect(receive('n2', ['n2', 1, window(), 1, -1, { shop: -2 }])).to.equal(false);
    receive('n2', ['n2', 1, window() + 1000, 0, window() + 1000, { shop: 2 }]);
    expect(counts.lastRecordedWindow()).to.equal(undefined);
    expect(counts.totals(window() + 1000).size).to.equal(0);
  });
});
