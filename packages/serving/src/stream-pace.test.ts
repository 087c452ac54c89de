import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { FigureSharing } from './figure-sharing.js';
import { Fleet, type FleetMember } from './fleet.js';
import { receiveFigure } from './measured-figures.js';
import { placeGeneration } from './placement.js';
import { BatchSlowdown, createPauseCost, recordTokenTime } from './stream-pace.js';

const need = { promptTokens: 3079, outputTokens: 744 };
const engineTokens = 26_900;
const gapGoalMs = 180;
const tokensPerEvent = 4;
const speeds = [0.6, 1, 1.6];

const createMembers = (count: number): readonly FleetMember[] => {
  const fleet = Fleet.create();
  for (let index = 0; index < count; index += 1) {
    const id = String(index);
    fleet.register(
      {
        id,
        service: 'text',
        address: `127.0.0.1:${id}`,
        dataCentre: 'a',
        version: 'v1',
        slots: 24,
        state: 'ready',
        coldLeftMs: 0,
      },
      0,
    );
  }
  return fleet.ofService('text');
};

interface Stream {
  readonly engine: number;
  readonly node: number;
  readonly endsAtMs: number;
  isLate: boolean;
}

/** Time per token of an engine that slows down as its batch fills. */
const tokenTimeMs = (engine: number, batch: number): number =>
  (12 + 4.5 * batch) / (speeds[engine % speeds.length] ?? 1);

/**
 * 61 nodes place long streams of 10 s at 34 engines; returns the share of those that
 * paused for longer than the goal.
 */
const playStreams = (considersPauses: boolean, streamsPerSecond: number): number => {
  const random = Random.create(3);
  const nodes = Array.from({ length: 61 }, () => ({
    members: createMembers(34),
    slowdown: BatchSlowdown.create(),
    sharing: FigureSharing.create(0),
  }));
  let streams: Stream[] = [];
  let ended = 0;
  let late = 0;
  const intervalMs = 1000 / streamsPerSecond;
  for (let step = 0; step * intervalMs < 30_000; step += 1) {
    const nowMs = step * intervalMs;
    const batches = new Map<string, number>();
    for (const { engine } of streams) {
      batches.set(String(engine), (batches.get(String(engine)) ?? 0) + 1);
    }
    for (const stream of streams) {
      const { engine, endsAtMs } = stream;
      const gapMs = tokensPerEvent * tokenTimeMs(engine, batches.get(String(engine)) ?? 0);
      stream.isLate ||= gapMs > gapGoalMs;
      if (endsAtMs <= nowMs && nowMs > 18_000) {
        ended += 1;
        late += stream.isLate ? 1 : 0;
      }
    }
    streams = streams.filter(({ endsAtMs }) => endsAtMs > nowMs);
    if (step % (2 * streamsPerSecond) === 0) {
      for (const { engine, node } of streams) {
        const batch = batches.get(String(engine)) ?? 0;
        const member = nodes[node]?.members[engine];
        const slowdown = nodes[node]?.slowdown;
        if (member !== undefined && slowdown !== undefined) {
          const noise = 0.9 + 0.2 * random();
          recordTokenTime(member, noise * tokenTimeMs(engine, batch), batch, slowdown, nowMs);
        }
      }
      for (const node of nodes) {
        for (const { member, kind, ...figure } of node.sharing.take(node.members, 61, nowMs)) {
          for (const other of nodes) {
            const known = other.members[Number(member.upstream.id)];
            if (other !== node && known !== undefined) {
              receiveFigure(known, kind, figure, false, nowMs);
            }
          }
        }
      }
    }
    const node = Math.floor(random() * nodes.length);
    const placing = nodes[node];
    const member = placeGeneration(
      placing?.members ?? [],
      need,
      engineTokens,
      {
        nowMs,
        excludedUpstreams: new Set(),
        withdrawnDataCentres: new Set(),
        allows: () => true,
        unknownPlacements: 0,
        peerUse: (upstream) => ({
          upstream,
          requests: batches.get(upstream) ?? 0,
          promptTokens: 0,
          memoryTokens: (batches.get(upstream) ?? 0) * (need.promptTokens + need.outputTokens),
          copyTokens: 0,
        }),
        ...(considersPauses && placing !== undefined
          ? { pauseGoal: { gapGoalMs, tokensPerEvent, slowdown: placing.slowdown } }
          : {}),
      },
      random,
    );
    const engine = Number(member?.upstream.id);
    streams.push({ engine, node, endsAtMs: nowMs + 10_000, isLate: false });
  }
  return late / ended;
};

describe('pauses of long streams', () => {
  it('makes few streams pause that would at slow engines with a full batch', () => {
    // Guards against long streams that are placed by their first event alone, and are late after it.
    const without = playStreams(false, 14);
    const considered = playStreams(true, 14);
    expect(without).to.be.greaterThan(0.1);
    expect(considered).to.be.lessThan(0.3 * without);
  }).timeout(20_000);

  it('makes fewer streams pause where the memory of fast engines is full as well', () => {
    // Guards against a cost of pauses that fills the memory of engines, where streams are preempted.
    expect(playStreams(true, 17)).to.be.lessThan(0.8 * playStreams(false, 17));
  }).timeout(20_000);

  it('learns how much a batch slows engines down', () => {
    // Guards against an extrapolation that keeps engines half empty, or fills them beyond their goal.
    const members = createMembers(6);
    const random = Random.create(8);
    const learn = (timeMs: (batch: number) => number): number => {
      const slowdown = BatchSlowdown.create();
      for (let time = 0; time < 600; time += 1) {
        const member = members[time % members.length];
        const batch = 1 + Math.floor(12 * random());
        if (member !== undefined) {
          recordTokenTime(member, timeMs(batch), batch, slowdown, 100 * time);
        }
      }
      return slowdown.factor();
    };
    expect(BatchSlowdown.create().factor()).to.equal(0.5);
    expect(learn((batch) => 5 * batch)).to.be.greaterThan(0.9);
    expect(learn(() => 20)).to.be.lessThan(0.1);
    expect(learn((batch) => 20 + 3 * batch)).to.be.within(0.3, 0.7);
  });

  it('costs nothing where nothing is known, where the goal is kept, and where there is none', () => {
    // Guards against a cost that changes placement on days on which no engine is slow.
    const members = createMembers(2);
    const [member, unknown] = members;
    if (member === undefined || unknown === undefined) {
      throw new Error('no members');
    }
    const slowdown = BatchSlowdown.create();
    const peerUse = (upstream: string) => ({
      upstream,
      requests: 4,
      promptTokens: 0,
      memoryTokens: 0,
      copyTokens: 0,
    });
    const goal = { gapGoalMs, tokensPerEvent, slowdown };
    const costAt = (nowMs: number, gapMs = gapGoalMs): number =>
      createPauseCost(members, { ...goal, gapGoalMs: gapMs }, peerUse, nowMs)(member);
    expect(costAt(0)).to.equal(0);
    recordTokenTime(member, 20, 5, slowdown, 0);
    expect(costAt(0)).to.equal(0);
    expect(costAt(0, 80)).to.be.closeTo(1000, 1e-6);
    expect(createPauseCost(members, { ...goal, gapGoalMs: 80 }, peerUse, 0)(unknown)).to.be.closeTo(
      1000,
      1e-6,
    );
    expect(costAt(0, 0), 'without a goal').to.equal(0);
    expect(createPauseCost(members, undefined, peerUse, 0)(member)).to.equal(0);
    expect(costAt(60_000, 80), 'of an old figure').to.equal(0);
  });
});
