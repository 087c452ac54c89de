import { VirtualClock } from '@zinniagrade/clock';
import { Fleet, paceOf, PeerUse, type FleetMember } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Log } from './log.js';
import type { PeerTopic, RowFields } from './peer-topics.js';
import { SharedLoads } from './shared-loads.js';

interface Node {
  readonly member: FleetMember;
  readonly loads: SharedLoads;
  readonly topic: PeerTopic;
  readonly rows: RowFields[];
}

const createNode = (clock: VirtualClock): Node => {
  const fleet = Fleet.create();
  const place = { service: 'plain', address: '10.1.2.3:1', dataCentre: 'a', version: 'v1' };
  const member = fleet.register({ ...place, id: 'a', slots: 6, state: 'ready', coldLeftMs: 0 }, 0);
  const rows: RowFields[] = [];
  let topic: PeerTopic | undefined;
  const loads = SharedLoads.create(
    clock,
    Log.createSilent(),
    { countDecision: () => undefined },
    fleet,
    {
      nodeCount: () => 2,
      peerUse: PeerUse.create().totalFor,
      openTopic: (opened) => {
        topic = opened;
        return (fields) => {
          rows.push(JSON.parse(JSON.stringify(fields)) as RowFields);
        };
      },
    },
  );
  if (topic === undefined) {
    throw new Error('no topic');
  }
  return { member, loads, topic, rows };
};

describe('shared loads of plain upstreams', () => {
  it('tells other nodes that an upstream is slow, once', () => {
    // Guards against nodes that learn it only from a late answer of their own.
    const clock = VirtualClock.create();
    const [first, second] = [createNode(clock), createNode(clock)];
    const slow = { running: 2, waiting: 0, slots: 6, pace: 3 };
    first.loads.onStated(first.member, slow);
    first.loads.onStated(first.member, slow);
    expect(first.rows.length).to.equal(1);
    for (const row of first.rows) {
      expect(second.topic.receive('first', row)).to.equal(true);
    }
    expect(second.member.serviceLoad).to.deep.equal(slow);
    expect(paceOf(second.member, clock.monotonicMs())).to.equal(3);
    clock.advance(300);
    second.loads.onStated(second.member, slow);
    expect(second.rows).to.deep.equal([]);
    first.loads.stop();
    second.loads.stop();
  });

  it('refuses rows that it cannot read', () => {
    // Guards against a row of another node that makes costs no numbers.
    const node = createNode(VirtualClock.create());
    const invalid: RowFields[] = [[], ['a', 1, 0, 0, 1], ['a', -1, 0, 6, 1], ['a', 1, 0, 6, null]];
    for (const row of invalid) {
      expect(node.topic.receive('x', row), JSON.stringify(row)).to.equal(false);
    }
    expect(node.topic.receive('x', ['unknown', 1, 0, 6, 1])).to.equal(true);
    expect(node.topic.receive('x', ['a', 1, 0, 6, 0, 'more'])).to.equal(true);
    expect(node.member.serviceLoad).to.deep.equal({ running: 1, waiting: 0, slots: 6 });
    node.loads.stop();
  });
});
