import { VirtualClock } from '@zinniagrade/clock';
import { Fleet, recordAnswer, recordFirstEvent } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Log } from './log.js';
import type { PeerTopic, RowFields } from './peer-topics.js';
import { SharedSpeeds } from './shared-speeds.js';

interface Node {
  readonly fleet: Fleet;
  readonly topic: PeerTopic;
  readonly rows: RowFields[];
}

const createNode = (clock: VirtualClock, nodeCount: number): Node => {
  const fleet = Fleet.create();
  for (let index = 0; index < 38; index += 1) {
    const id = `huka270-${String(index)}`;
    fleet.register(
      {
        id,
        service: index < 34 ? 'text' : 'plain',
        address: `10.1.2.3:${String(index)}`,
        dataCentre: 'a',
        version: 'v1',
        slots: 24,
        state: 'ready',
        coldLeftMs: 0,
      },
      0,
    );
  }
  const rows: RowFields[] = [];
  let topic: PeerTopic | undefined;
  SharedSpeeds.create(clock, Log.createSilent(), { countDecision: () => undefined }, fleet, {
    nodeCount: () => nodeCount,
    openTopic: (opened) => {
      topic = opened;
      return (fields) => {
        rows.push(JSON.parse(JSON.stringify(fields)) as RowFields);
      };
    },
  });
  if (topic === undefined) {
    throw new Error('no topic');
  }
  return { fleet, topic, rows };
};

const member = ({ fleet }: Node, index: number) => {
  const found = fleet.members.get(`huka270-${String(index)}`);
  if (found === undefined) {
    throw new Error('no member');
  }
  return found;
};

describe('shared speeds', () => {
  it('carries what one node measures to another, and to one that joins later', () => {
    // Guards against rows that lose the kind, the age or the upstream of a figure.
    const clock = VirtualClock.create();
    const [first, second, joining] = [
      createNode(clock, 3),
      createNode(clock, 3),
      createNode(clock, 3),
    ];
    recordFirstEvent(member(first, 3), 250, 1000, clock.monotonicMs());
    const answer = { latencyMs: 80, failed: false, isOfUpstream: true };
    recordAnswer(member(first, 35), answer, clock.monotonicMs());
    clock.advance(1000);
    for (const row of first.rows) {
      expect(second.topic.receive('first', row)).to.equal(true);
    }
    expect(member(second, 3).msPerPromptToken).to.equal(0.25);
    expect(member(second, 35).latencyMs).to.equal(80);
    expect(member(second, 4).msPerPromptToken).to.equal(0);
    clock.advance(3000);
    expect(second.rows, 'only what a node measured itself').to.deep.equal([]);
    for (const row of second.topic.snapshot()) {
      expect(joining.topic.receive('second', row)).to.equal(true);
    }
    expect(member(joining, 3).msPerPromptToken).to.equal(0.25);
  });

  it('refuses rows that it cannot read, and skips figures of later versions', () => {
    // Guards against a row of another node that ends the process or sets a figure to no number.
    const clock = VirtualClock.create();
    const node = createNode(clock, 2);
    const invalid: RowFields[] = [
      [],
      [0],
      [0, 'x'],
      [0, [['huka270-1', 0, -1, 1, 0]]],
      [0, [['huka270-1', 0, null, 1, 0]]],
      [0, [['huka270-1', 0, 1, 0, 0]]],
    ];
    for (const row of invalid) {
      expect(node.topic.receive('x', row), JSON.stringify(row)).to.equal(false);
    }
    const later: RowFields = [
      0,
      [
        ['huka270-1', 99, 1, 1, 0],
        ['unknown', 0, 1, 1, 0],
        ['huka270-2', 0, 0.3, 1, 0, 'more'],
      ],
      'more',
    ];
    expect(node.topic.receive('x', later)).to.equal(true);
    expect(member(node, 2).msPerPromptToken).to.equal(0.3);
    expect(member(node, 1).msPerPromptToken).to.equal(0);
  });

  it('sends each node less than 5 KB a second of 73 nodes', () => {
    // Guards against traffic that the small nodes can't bear: every node gets the rows of all others.
    const clock = VirtualClock.create();
    const nodes = Array.from({ length: 73 }, () => createNode(clock, 73));
    const seconds = 20;
    for (let second = 0; second < seconds; second += 1) {
      for (const [index, node] of nodes.entries()) {
        for (let time = 0; time < 4; time += 1) {
          const engine = (7 * index + 11 * second + 5 * time) % 34;
          const tookMs = 200 + 300 * Math.abs(Math.sin(index * engine + time));
          recordFirstEvent(member(node, engine), tookMs, 3000, clock.monotonicMs());
        }
      }
      clock.advance(1000);
    }
    const bytes = nodes
      .flatMap(({ rows }) => rows)
      .map((fields) => JSON.stringify(['gateway-12', 'speeds', fields]).length);
    const perSecond = bytes.reduce((sum, length) => sum + length, 0) / seconds;
    expect(perSecond).to.be.within(1000, 5000);
  });
});
