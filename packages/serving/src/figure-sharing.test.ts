import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { FigureSharing, figureSnapshot } from './figure-sharing.js';
import { Fleet, type FleetMember } from './fleet.js';
import { ageFigures, receiveFigure, recordAnswer, recordFirstEvent } from './measured-figures.js';
import { placeCall, placeGeneration, type PlacementConstraints } from './placement.js';
import type { UpstreamUse } from './peer-use.js';

const need = { promptTokens: 3079, outputTokens: 744 };
const engineTokens = 26_900;
const speeds = [0.6, 1, 1.6];
const usualMsPerToken = 0.14;

interface Node {
  readonly fleet: Fleet;
  readonly sharing: FigureSharing;
}

const register = (fleet: Fleet, id: string, slots: number, bornAtMs = 0): FleetMember =>
  fleet.register(
    {
      id,
      bornAtMs,
      service: 'text',
      address: `127.0.0.1:${id}`,
      dataCentre: 'a',
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
    },
    0,
  );

const createNodes = (count: number, upstreams: number, slots: number): readonly Node[] =>
  Array.from({ length: count }, () => {
    const fleet = Fleet.create();
    for (let index = 0; index < upstreams; index += 1) {
      register(fleet, String(index), slots);
    }
    return { fleet, sharing: FigureSharing.create(0) };
  });

/** Lets all nodes share what they have; returns the number of figures. */
const share = (nodes: readonly Node[], nowMs: number): number => {
  let count = 0;
  for (const node of nodes) {
    const figures = node.sharing.take(node.fleet.members.values(), nodes.length, nowMs);
    count += figures.length;
    for (const { member, kind, value, weight, atMs } of figures) {
      for (const other of nodes) {
        const known = other.fleet.members.get(member.upstream.id);
        if (other !== node && known !== undefined) {
          receiveFigure(known, kind, { value, weight, atMs }, false, nowMs);
        }
      }
    }
  }
  return count;
};

const constraintsAt = (
  nowMs: number,
  uses: ReadonlyMap<string, Partial<UpstreamUse>>,
): PlacementConstraints => ({
  nowMs,
  excludedUpstreams: new Set(),
  withdrawnDataCentres: new Set(),
  allows: () => true,
  unknownPlacements: 0,
  peerUse: (upstream) => ({
    upstream,
    requests: 0,
    promptTokens: 0,
    memoryTokens: 0,
    copyTokens: 0,
    ...uses.get(upstream),
  }),
});

interface Played {
  readonly meanMs: number;
  readonly p95Ms: number;
  readonly figuresPerSecond: number;
}

const summarize = (waits: readonly number[], figuresPerSecond: number): Played => {
  const sorted = [...waits].sort((a, b) => a - b);
  const meanMs = sorted.reduce((sum, wait) => sum + wait, 0) / Math.max(1, sorted.length);
  return { meanMs, p95Ms: sorted[Math.floor(sorted.length * 0.95)] ?? 0, figuresPerSecond };
};

/** Each of 61 nodes sends one generation in two seconds to 34 engines, one in three of them slow. */
const playGenerations = (shares: boolean): Played => {
  const random = Random.create(5);
  const nodes = createNodes(61, 34, 24);
  const freeAtMs = new Map<string, number>();
  const queued: { readonly id: string; readonly untilMs: number }[] = [];
  const begun: { readonly atMs: number; readonly record: () => void }[] = [];
  const waits: number[] = [];
  let figures = 0;
  const stepMs = 2000 / nodes.length;
  const endMs = 40_000;
  for (let step = 0; step * stepMs < endMs; step += 1) {
    const nowMs = step * stepMs;
    for (let index = begun.length - 1; index >= 0; index -= 1) {
      const event = begun[index];
      if (event !== undefined && event.atMs <= nowMs) {
        event.record();
        begun.splice(index, 1);
      }
    }
    const uses = new Map<string, { requests: number; promptTokens: number }>();
    for (const { id, untilMs } of queued) {
      const use = uses.get(id) ?? { requests: 0, promptTokens: 0 };
      if (untilMs > nowMs) {
        use.requests += 1;
        use.promptTokens += need.promptTokens;
        uses.set(id, use);
      }
    }
    const node = nodes[Math.floor(random() * nodes.length)];
    const members = node?.fleet.ofService('text') ?? [];
    const member = placeGeneration(members, need, engineTokens, constraintsAt(nowMs, uses), random);
    if (member === undefined) {
      throw new Error('no engine is usable');
    }
    const { id } = member.upstream;
    const tokensAhead = (uses.get(id)?.promptTokens ?? 0) + need.promptTokens;
    const speed = speeds[Number(id) % speeds.length] ?? 1;
    const beginsAtMs = Math.max(nowMs, freeAtMs.get(id) ?? 0);
    const firstEventAtMs = beginsAtMs + (need.promptTokens * usualMsPerToken) / speed;
    freeAtMs.set(id, firstEventAtMs);
    queued.push({ id, untilMs: firstEventAtMs });
    begun.push({
      atMs: firstEventAtMs,
      record: () => {
        recordFirstEvent(member, firstEventAtMs - nowMs, tokensAhead, firstEventAtMs);
      },
    });
    if (nowMs > endMs / 2) {
      waits.push(firstEventAtMs - nowMs);
    }
    if (shares && step % Math.round(1000 / stepMs) === 0) {
      figures += share(nodes, nowMs);
      for (const { fleet } of nodes) {
        ageFigures(fleet.ofService('text'), nowMs);
      }
    }
  }
  return summarize(waits, figures / (endMs / 1000));
};

/** 98 calls a second to four upstreams with six slots, one of which takes three times as long at last. */
const playCalls = (shares: boolean): number => {
  const random = Random.create(9);
  const nodes = createNodes(61, 4, 6);
  const pending: { readonly id: string; readonly atMs: number; readonly record: () => void }[] = [];
  let toSlow = 0;
  let calls = 0;
  for (let nowMs = 0; nowMs < 12_000; nowMs += 1000 / 98) {
    for (let index = pending.length - 1; index >= 0; index -= 1) {
      const answer = pending[index];
      if (answer !== undefined && answer.atMs <= nowMs) {
        answer.record();
        pending.splice(index, 1);
      }
    }
    const uses = new Map<string, { requests: number }>();
    for (const { id } of pending) {
      uses.set(id, { requests: (uses.get(id)?.requests ?? 0) + 1 });
    }
    const node = nodes[Math.floor(random() * nodes.length)];
    const member = placeCall(
      node?.fleet.ofService('text') ?? [],
      constraintsAt(nowMs, uses),
      random,
    );
    if (member === undefined) {
      throw new Error('no upstream is usable');
    }
    const isSlow = member.upstream.id === '0' && nowMs >= 6000;
    const workMs = (20 + 23 * random()) * (isSlow ? 3 : 1);
    pending.push({
      id: member.upstream.id,
      atMs: nowMs + workMs,
      record: () => {
        const answer = { latencyMs: workMs, failed: false, isOfUpstream: true };
        recordAnswer(member, answer, nowMs + workMs);
      },
    });
    if (nowMs >= 8000) {
      calls += 1;
      toSlow += isSlow ? 1 : 0;
    }
    if (shares && Math.floor(nowMs / 1000) !== Math.floor((nowMs - 1000 / 98) / 1000)) {
      share(nodes, nowMs);
    }
  }
  return toSlow / calls;
};

describe('sharing of figures', () => {
  it('lets nodes that send one generation in two seconds know all engines', () => {
    // Guards against nodes that know nothing of most engines, and send as much to slow as to fast ones.
    const alone = playGenerations(false);
    const shared = playGenerations(true);
    expect(shared.meanMs).to.be.lessThan(0.85 * alone.meanMs);
    expect(shared.p95Ms).to.be.lessThan(0.85 * alone.p95Ms);
    expect(shared.figuresPerSecond).to.be.lessThan(80);
  }).timeout(20_000);

  it('takes calls away from an upstream that has become three times as slow', () => {
    // Guards against nodes that each have to find out by themselves, with one call in two seconds.
    const alone = playCalls(false);
    const shared = playCalls(true);
    expect(shared).to.be.lessThan(0.5 * alone);
  }).timeout(20_000);

  it('keeps to the rate of all nodes, however many observations there are', () => {
    // Guards against traffic that grows with the requests and takes the nodes' links.
    const nodes = createNodes(20, 34, 24);
    const random = Random.create(2);
    let count = 0;
    for (let second = 1; second <= 10; second += 1) {
      for (const { fleet } of nodes) {
        for (const member of fleet.members.values()) {
          recordFirstEvent(member, 100 + 500 * random(), 1000, second * 1000);
        }
      }
      count += share(nodes, second * 1000);
    }
    expect(count).to.be.within(1, 80 * 10 + 20);
  });

  it('shares a change at once and the same figure seldom', () => {
    // Guards against messages that tell nothing, and against a change that is held back.
    const [node] = createNodes(1, 1, 24);
    const member = node?.fleet.members.get('0');
    if (node === undefined || member === undefined) {
      throw new Error('no member');
    }
    const counts: number[] = [];
    for (let second = 1; second <= 9; second += 1) {
      recordFirstEvent(member, second === 9 ? 300 : 140, 1000, second * 1000);
      counts.push(node.sharing.take([member], 1, second * 1000).length);
    }
    expect(counts).to.deep.equal([1, 0, 0, 0, 0, 0, 1, 0, 1]);
  });

  it('keeps failures of the way to an upstream to itself', () => {
    // Guards against a node without a way to an upstream, on whose word all others avoid it.
    const [node] = createNodes(1, 1, 6);
    const member = node?.fleet.members.get('0');
    if (node === undefined || member === undefined) {
      throw new Error('no member');
    }
    recordAnswer(member, { latencyMs: 0, failed: true, isOfUpstream: false }, 10);
    expect(member.failureShare).to.be.greaterThan(0.1);
    expect(node.sharing.take([member], 1, 20)).to.deep.equal([]);
    recordAnswer(member, { latencyMs: 0, failed: true, isOfUpstream: true }, 30);
    expect(node.sharing.take([member], 1, 2000).map(({ kind }) => kind)).to.deep.equal([
      'failureShare',
    ]);
  });

  it('forgets the figures of an upstream that has restarted, and of an earlier one of its address', () => {
    // Guards against the speed of a VM that has gone, which is taken for that of its replacement.
    const fleet = Fleet.create();
    const member = register(fleet, '0', 24, 1);
    recordFirstEvent(member, 500, 1000, 100);
    expect(member.msPerPromptToken).to.equal(0.5);
    const observed = { value: 0.5, weight: 1, atMs: 100 };
    register(fleet, '0', 24, 2);
    expect(member.msPerPromptToken).to.equal(0);
    member.figures.reset(1000);
    receiveFigure(member, 'msPerPromptToken', observed, false, 1100);
    expect(member.msPerPromptToken).to.equal(0);
    expect(register(fleet, '1', 24).msPerPromptToken).to.equal(0);
  });

  it('gives a node that joins what others know, and changes nothing where as much is known', () => {
    // Guards against snapshots that count again at nodes which have the observations already.
    const [first, second] = createNodes(2, 2, 24);
    const known = first?.fleet.members.get('0');
    const joining = second?.fleet.members.get('0');
    if (first === undefined || known === undefined || joining === undefined) {
      throw new Error('no members');
    }
    for (let time = 0; time < 4; time += 1) {
      recordFirstEvent(known, 200, 1000, time);
    }
    const snapshot = figureSnapshot(first.fleet.members.values(), 100);
    expect(snapshot.map(({ member }) => member.upstream.id)).to.deep.equal(['0']);
    for (const { kind, value, weight, atMs } of snapshot) {
      receiveFigure(joining, kind, { value, weight, atMs }, true, 100);
      expect(joining.msPerPromptToken).to.equal(0.2);
      receiveFigure(joining, kind, { value: 0.9, weight, atMs }, true, 100);
      expect(joining.msPerPromptToken).to.equal(0.2);
    }
  });
});
