import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Fleet, type FleetMember } from './fleet.js';
import { LoadSharing } from './load-sharing.js';
import { ownUse, PeerUse } from './peer-use.js';
import { placeCall, type PlacementConstraints } from './placement.js';
import {
  expectedAnswerMs,
  hedgeDelayMs,
  isFull,
  paceOf,
  recordServiceLoad,
  requestsAt,
  workTimeMs,
} from './service-load.js';
import type { ServiceLoad } from './upstream.js';

const slots = 6;

const createMembers = (count: number): readonly FleetMember[] => {
  const fleet = Fleet.create();
  for (let index = 0; index < count; index += 1) {
    const id = String(index);
    fleet.register(
      {
        id,
        service: 'plain',
        address: `127.0.0.1:${id}`,
        dataCentre: 'a',
        version: 'v1',
        slots,
        state: 'ready',
        coldLeftMs: 0,
      },
      0,
    );
  }
  return fleet.ofService('plain');
};

const createMember = (): FleetMember => {
  const [member] = createMembers(1);
  if (member === undefined) {
    throw new Error('no member');
  }
  return member;
};

const addRun = (member: FleetMember, requestId: string): void => {
  member.ownRuns.set(requestId, {
    requestId,
    sentAtMs: 0,
    promptTokens: 0,
    expectedTokens: 0,
    hasBegun: false,
    isBackup: false,
  });
};

const noPeers = PeerUse.create().totalFor;

const constraintsAt = (
  nowMs: number,
  peerUse: PlacementConstraints['peerUse'],
): PlacementConstraints => ({
  nowMs,
  excludedUpstreams: new Set(),
  withdrawnDataCentres: new Set(),
  allows: () => true,
  unknownPlacements: 0,
  peerUse,
});

interface Upstream {
  readonly running: number[];
  /** Time at which each slot is free. */
  readonly freeAtMs: number[];
  pace: number;
}

interface Played {
  readonly lateShare: number;
  readonly sharedPerSecond: number;
}

/**
 * Calls from 61 nodes to four upstreams with six slots each; each second another one takes four times
 * as long. Nodes hear of each other's requests after 100 ms.
 */
const playChangingPace = (knowsLoads: boolean, callsPerSecond: number): Played => {
  const random = Random.create(11);
  const nodeCount = 61;
  const nodes = Array.from({ length: nodeCount }, () => ({
    members: createMembers(4),
    sharing: LoadSharing.create(),
  }));
  for (const { members } of nodes) {
    for (const member of members) {
      member.latencyMs = 32;
    }
  }
  const upstreams = Array.from({ length: 4 }, (): Upstream => ({
    running: [],
    freeAtMs: Array.from({ length: slots }, () => 0),
    pace: 1,
  }));
  const answers: { readonly atMs: number; readonly node: number; readonly index: number }[] = [];
  const sends: { readonly atMs: number; readonly doneAtMs: number; readonly index: number }[] = [];
  let late = 0;
  let calls = 0;
  let shared = 0;
  const intervalMs = 1000 / callsPerSecond;
  const endMs = 15_000;
  for (let nowMs = 0; nowMs < endMs; nowMs += intervalMs) {
    for (const [index, upstream] of upstreams.entries()) {
      upstream.pace = Math.floor(nowMs / 1000) % 4 === index ? 4 : 1;
    }
    while ((answers[0]?.atMs ?? Infinity) <= nowMs) {
      const answer = answers.shift();
      const upstream = upstreams[answer?.index ?? 0];
      const reader = nodes[answer?.node ?? 0];
      if (answer === undefined || upstream === undefined || reader === undefined || !knowsLoads) {
        continue;
      }
      const open = upstream.running.filter((doneAtMs) => doneAtMs > nowMs).length;
      const load: ServiceLoad = {
        running: Math.min(slots, open),
        waiting: Math.max(0, open - slots),
        slots,
        pace: upstream.pace,
      };
      const id = String(answer.index);
      const isShared = reader.sharing.take(id, load, nodeCount, nowMs);
      shared += isShared ? 1 : 0;
      for (const node of isShared ? nodes : [reader]) {
        const member = node.members[answer.index];
        if (member !== undefined) {
          recordServiceLoad(member, load, noPeers, nowMs);
          node.sharing.receive(id, load, nowMs);
        }
      }
    }
    const announced = new Map<string, number>();
    for (const { atMs, doneAtMs, index } of sends) {
      if (atMs + 100 <= nowMs && doneAtMs > nowMs) {
        announced.set(String(index), (announced.get(String(index)) ?? 0) + 1);
      }
    }
    const peerUse: PlacementConstraints['peerUse'] = (id) => ({
      ...noPeers(id),
      requests: announced.get(id) ?? 0,
    });
    const node = Math.floor(random() * nodeCount);
    const members = nodes[node]?.members ?? [];
    const member = placeCall(members, constraintsAt(nowMs, peerUse), random);
    const index = Number(member?.upstream.id);
    const upstream = upstreams[index];
    if (upstream === undefined) {
      throw new Error('no upstream is usable');
    }
    const slot = upstream.freeAtMs.indexOf(Math.min(...upstream.freeAtMs));
    const workMs = (20 + 23 * random()) * upstream.pace;
    const doneAtMs = Math.max(nowMs, upstream.freeAtMs[slot] ?? 0) + workMs;
    upstream.freeAtMs[slot] = doneAtMs;
    upstream.running.push(doneAtMs);
    sends.push({ atMs: nowMs, doneAtMs, index });
    answers.push({ atMs: doneAtMs, node, index });
    answers.sort((a, b) => a.atMs - b.atMs);
    calls += 1;
    late += doneAtMs - nowMs > 125 ? 1 : 0;
  }
  return { lateShare: late / calls, sharedPerSecond: shared / (endMs / 1000) / 4 };
};

describe('load that plain upstreams state', () => {
  it('takes calls away from an upstream that has just become slower', () => {
    // Guards against calls that go on to an upstream which states that its work takes longer now.
    for (const callsPerSecond of [98, 300, 400]) {
      const without = playChangingPace(false, callsPerSecond);
      const used = playChangingPace(true, callsPerSecond);
      expect(used.lateShare).to.be.lessThan(0.5 * without.lateShare);
      expect(used.sharedPerSecond).to.be.within(0.1, 5);
    }
  }).timeout(20_000);

  it('does not send all calls of a service near its limit to one upstream', () => {
    // Guards against nodes that avoid one upstream together for longer than its requests take.
    const without = playChangingPace(false, 500);
    expect(playChangingPace(true, 500).lateShare).to.be.lessThan(without.lateShare);
  }).timeout(20_000);

  it('counts no request twice that is announced and stated', () => {
    // Guards against upstreams that count as full at half of their load.
    const member = createMember();
    const peers = PeerUse.create();
    peers.update('other', [{ ...ownUse(member), requests: 2 }]);
    addRun(member, 'own');
    recordServiceLoad(member, { running: 3, waiting: 0, slots }, peers.totalFor, 100);
    expect(requestsAt(member, peers.totalFor, 100)).to.equal(3);
    expect(isFull(member, peers.totalFor, 100)).to.equal(false);
    recordServiceLoad(member, { running: 6, waiting: 1, slots }, peers.totalFor, 200);
    expect(requestsAt(member, peers.totalFor, 200)).to.equal(7);
    expect(isFull(member, peers.totalFor, 200)).to.equal(true);
    addRun(member, 'second');
    expect(requestsAt(member, peers.totalFor, 200)).to.equal(8);
  });

  it('counts for less with its age, and an older load replaces none', () => {
    // Guards against calls that avoid an upstream which has been at its usual pace again for long.
    const member = createMember();
    const load: ServiceLoad = { running: 6, waiting: 4, slots, pace: 3 };
    recordServiceLoad(member, load, noPeers, 100);
    recordServiceLoad(member, { running: 0, waiting: 0, slots }, noPeers, 50);
    expect([paceOf(member, 100), requestsAt(member, noPeers, 100)]).to.deep.equal([3, 10]);
    member.latencyMs = 40;
    expect([paceOf(member, 600), requestsAt(member, noPeers, 600)]).to.deep.equal([2, 0]);
    expect(paceOf(member, 1100)).to.equal(1);
    recordServiceLoad(member, { ...load, pace: 1 }, noPeers, 2000);
    expect(requestsAt(member, noPeers, 2020)).to.equal(5);
  });

  it('expects an answer by work time, pace and requests, and finds the work time from it', () => {
    // Guards against a queue that counts twice, as a longer work time and as requests ahead.
    const member = createMember();
    expect(expectedAnswerMs(member, noPeers, 0)).to.equal(undefined);
    member.latencyMs = 30;
    recordServiceLoad(member, { running: 6, waiting: 5, slots, pace: 2 }, noPeers, 100);
    expect(expectedAnswerMs(member, noPeers, 100)).to.equal(120);
    expect(workTimeMs(member, 120, 2, 100)).to.equal(30);
  });

  it('hedges later where the upstream is slow, but not after the objective', () => {
    // Guards against second requests to a service that is late only because it has too many.
    expect(hedgeDelayMs(200, undefined)).to.be.closeTo(110, 1e-9);
    expect(hedgeDelayMs(200, 40)).to.be.closeTo(110, 1e-9);
    expect(hedgeDelayMs(200, 100)).to.equal(150);
    expect(hedgeDelayMs(200, 1000)).to.equal(200);
  });
});

describe('sharing of stated loads', () => {
  it('keeps to a few loads a second for each upstream, however often they change', () => {
    // Guards against 61 nodes that each tell all others what each response says.
    const nodes = Array.from({ length: 61 }, () => LoadSharing.create());
    const random = Random.create(4);
    let shared = 0;
    const seconds = 60;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 10) {
      const load = { running: Math.floor(7 * random()), waiting: 0, slots, pace: 1 + 3 * random() };
      const node = nodes[Math.floor(random() * nodes.length)];
      if (node?.take('a', load, nodes.length, nowMs) === true) {
        shared += 1;
        for (const other of nodes) {
          other.receive('a', load, nowMs);
        }
      }
    }
    expect(shared / seconds).to.be.within(2, 5);
  });

  it('shares what differs from the load that all know, and nothing of an upstream at rest', () => {
    // Guards against messages that tell nothing.
    const sharing = LoadSharing.create();
    const atRest: ServiceLoad = { running: 1, waiting: 0, slots, pace: 1 };
    const slow: ServiceLoad = { ...atRest, pace: 3 };
    expect(sharing.take('a', atRest, 1, 0)).to.equal(false);
    expect(sharing.take('a', slow, 1, 10)).to.equal(true);
    expect(sharing.take('a', slow, 1, 500)).to.equal(false);
    expect(sharing.take('a', atRest, 1, 600)).to.equal(true);
    sharing.receive('b', slow, 1000);
    expect(sharing.take('b', slow, 1, 1300)).to.equal(false);
    expect(sharing.take('b', atRest, 1, 1300)).to.equal(true);
  });
});
