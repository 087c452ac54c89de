import { Random, VirtualClock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import {
  ColdShares,
  Fleet,
  isBelowColdPart,
  recordColdSend,
  totalColdSends,
  type FleetMember,
  type Upstream,
} from '@zinniagrade/serving';
import { expect } from 'chai';
import { ClusterState, type NodeEntry } from './cluster-state.js';
import { ColdLimits } from './cold-limits.js';
import { Log } from './log.js';

const secondMs = 1000;
const stepMs = 10;
const durationMs = 8 * secondMs;
const settleMs = 2 * secondMs;
/** Longest time until a node learns of a changed registration, and until a request arrives. */
const maxNewsDelayMs = 245;
const maxArrivalDelayMs = 240;
const key = 'cold|app-1|1000';

const createUpstream = (id: string): Upstream => ({
  id,
  service: 'app',
  address: '127.0.0.1:1',
  dataCentre: 'a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  coldLeftMs: 60_000,
});

/** One node, which may be replaced by a new process of its name. */
interface Sender {
  readonly shares: ColdShares;
  readonly member: FleetMember;
}

/** Nodes that are registered from some time on, as one node learns of it. */
interface News {
  readonly dueAtMs: number;
  readonly nodes: readonly string[];
}

interface Replay {
  readonly arrivals: readonly number[];
  /** Requests that were sent in the second half, when no node restarts any more. */
  readonly lateSends: number;
}

/** All nodes want to send far more than the limit; `restarts` of them restart one after another. */
const replay = (nodeCount: number, total: number, restarts: number): Replay => {
  const random = Random.create(1000 * nodeCount + total);
  const names = Array.from({ length: nodeCount }, (_, index) => `node-${String(index)}`);
  const orders = new Map<readonly string[], readonly string[]>();
  const createSender = (node: string, nowMs: number): Sender => ({
    shares: ColdShares.create((_, nodes) => {
      const order = orders.get(nodes) ?? chooseByRendezvous(key, nodes, nodes.length);
      orders.set(nodes, order);
      return order.indexOf(node);
    }, nowMs),
    member: Fleet.create().register(createUpstream('app-1'), nowMs),
  });
  const senders = new Map(names.map((node) => [node, createSender(node, -settleMs)]));
  for (const { shares } of senders.values()) {
    shares.setNodes(names, -settleMs);
  }
  let registered: readonly string[] = names;
  const news = new Map<string, News[]>(names.map((node) => [node, []]));
  const tellAll = (nodes: readonly string[], nowMs: number): void => {
    registered = nodes;
    for (const queue of news.values()) {
      const dueAtMs = Math.max(queue.at(-1)?.dueAtMs ?? 0, nowMs + maxNewsDelayMs * random());
      queue.push({ dueAtMs, nodes });
    }
  };
  const arrivals: number[] = [];
  let lateSends = 0;
  const restartEveryMs = durationMs / 2 / Math.max(1, restarts);
  let restarted = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    const restarting = names[restarted];
    if (restarted < restarts && restarting !== undefined && nowMs >= restarted * restartEveryMs) {
      restarted += 1;
      senders.set(restarting, createSender(restarting, nowMs));
      tellAll(
        registered.filter((node) => node !== restarting),
        nowMs,
      );
      tellAll([...registered, restarting], nowMs);
    }
    for (const [node, { shares, member }] of senders) {
      const queue = news.get(node) ?? [];
      while ((queue[0]?.dueAtMs ?? Infinity) <= nowMs) {
        shares.setNodes(queue.shift()?.nodes ?? [], nowMs);
      }
      if (random() < 0.5 && isBelowColdPart(member, shares.partOf(key, total, nowMs), nowMs)) {
        recordColdSend(member, nowMs);
        arrivals.push(nowMs + maxArrivalDelayMs * random());
        lateSends += nowMs >= durationMs / 2 + settleMs ? 1 : 0;
      }
    }
  }
  return { arrivals: arrivals.sort((a, b) => a - b), lateSends };
};

const maxInOneSecond = (arrivals: readonly number[]): number => {
  let max = 0;
  let first = 0;
  for (const [index, atMs] of arrivals.entries()) {
    while ((arrivals[first] ?? atMs) <= atMs - secondMs) {
      first += 1;
    }
    max = Math.max(max, index - first + 1);
  }
  return max;
};

describe('cold limits', () => {
  for (const nodeCount of [8, 61, 730]) {
    for (const total of [1, 2, 7, 30, 50]) {
      it(`hold over ${String(nodeCount)} nodes at ${String(total)} requests a second`, () => {
        // Guards against more requests in any second than the limit: from nodes that get one each
        // although there are more of them, or that learn of restarted nodes at different times.
        const { arrivals, lateSends } = replay(
          nodeCount,
          total,
          Math.min(20, Math.ceil(nodeCount / 6)),
        );
        expect(maxInOneSecond(arrivals)).to.be.at.most(total);
        // Guards against an upstream that gets far less than it bears.
        const seconds = (durationMs / 2 - settleMs) / secondMs;
        expect(lateSends / seconds).to.be.at.least(0.75 * total);
      });
    }
  }

  it('round down, but allow one request', () => {
    expect(totalColdSends({ perSecond: 31, excess: 1.5, slack: 5 })).to.equal(51);
    expect(totalColdSends({ perSecond: 0.2, excess: 1, slack: 0 })).to.equal(1);
  });

  it('count copies, from which streams may continue at any time', () => {
    // Guards against streams of several nodes that move to one cold engine within a second.
    const member = Fleet.create().register(createUpstream('engine-1'), 0);
    expect(isBelowColdPart(member, 1, 10)).to.equal(true);
    member.ownRuns.set('a#copy', {
      requestId: 'a',
      sentAtMs: 0,
      promptTokens: 0,
      expectedTokens: 100,
      hasBegun: true,
      isBackup: true,
    });
    expect(isBelowColdPart(member, 1, 10)).to.equal(false);
    expect(isBelowColdPart(member, 2, 10)).to.equal(true);
  });

  const createNode = (node: string, nodes: readonly string[], upstreams: number) => {
    const clock = VirtualClock.create();
    const cluster = ClusterState.create(Log.createSilent());
    const bounds = { excess: 1.5, slack: 5 };
    const limits = ColdLimits.create(clock, cluster, { node, bounds: () => bounds });
    const service = { name: 'app', healthPath: '/', maxConnections: 100, coldPerSecond: 30 };
    const configuration = {
      version: 1,
      routes: [],
      services: new Map([['app', service]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      clientAccounts: [],
    };
    cluster.apply({ kind: 'configuration', configuration }, 1, 0);
    for (const name of nodes) {
      const entry: NodeEntry = {
        node: name,
        dataCentre: 'a',
        callerAddress: '127.0.0.1:1',
        capacity: 1,
        leaving: false,
      };
      cluster.apply({ kind: 'node', node: name, entry }, 1, 0);
    }
    for (let index = 0; index < upstreams; index += 1) {
      const upstream = createUpstream(`app-${String(index)}`);
      cluster.apply({ kind: 'upstream', id: upstream.id, upstream }, 1, 0);
    }
    clock.advance(settleMs);
    return { clock, cluster, limits };
  };

  it('leave nearly every node an upstream when all are cold', () => {
    // Guards against nodes that refuse all requests while a data centre restarts, as they have a
    // part of the limit of no upstream.
    const nodes = Array.from({ length: 61 }, (_, index) => `node-${String(index)}`);
    let withoutUpstream = 0;
    for (const node of nodes) {
      const { cluster, limits } = createNode(node, nodes, 4);
      withoutUpstream += cluster.fleet.ofService('app').some(limits.allows) ? 0 : 1;
    }
    expect(withoutUpstream).to.be.at.most(1);
  });

  it('leave room for nodes of an earlier version, which take no parts', () => {
    // Guards against nodes of this version that use the whole limit by themselves beside others.
    const nodes = Array.from({ length: 61 }, (_, index) => `node-${String(index)}`);
    let sends = 0;
    for (const node of nodes.slice(0, 30)) {
      const { clock, cluster, limits } = createNode(node, nodes, 1);
      for (const member of cluster.fleet.ofService('app')) {
        while (limits.allows(member)) {
          recordColdSend(member, clock.monotonicMs());
          sends += 1;
        }
      }
    }
    expect(sends).to.be.within(1, 30);
  });

  it('end when the upstream is warm', () => {
    const { clock, cluster, limits } = createNode('node-0', ['node-0'], 1);
    const [member] = cluster.fleet.ofService('app');
    if (member === undefined) {
      throw new Error('no upstream');
    }
    for (let request = 0; request < 100; request += 1) {
      recordColdSend(member, clock.monotonicMs());
    }
    expect(limits.allows(member)).to.equal(false);
    member.coldUntilMs = clock.monotonicMs();
    expect(limits.allows(member)).to.equal(true);
  });
});
