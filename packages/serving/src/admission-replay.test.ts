import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { admitGeneration } from './admission.js';
import { Fleet, type FleetMember } from './fleet.js';
import { PeerDemand } from './peer-demand.js';
import type { GenerationNeed } from './placement.js';
import { UrgentArrivals } from './urgent-arrivals.js';
import { WaitingQueue, type RoomAhead, type WaitingRequest } from './waiting-queue.js';

const engineTokens = 26_900;
const engineCount = 33;
const nodeCount = 70;
const stepMs = 20;
const warmUpMs = 6000;
const loadMs = 16_000;
/** Nodes learn of the use of others after this time, evenly spread. */
const minDelayMs = 20;
const maxDelayMs = 250;

interface Kind {
  readonly priority: number;
  readonly need: GenerationNeed;
  readonly runMs: number;
  readonly maxWaitMs: number;
}

const long: Kind = {
  priority: 5,
  need: { promptTokens: 3079, outputTokens: 744 },
  runMs: 10_000,
  maxWaitMs: 1500,
};
const short: Kind = {
  priority: 0,
  need: { promptTokens: 2550, outputTokens: 8 },
  runMs: 700,
  maxWaitMs: 750,
};

interface Arrival {
  readonly kind: Kind;
  readonly atMs: number;
  readonly node: number;
}

interface Change {
  readonly dueMs: number;
  readonly apply: () => void;
}

interface Outcome {
  readonly started: ReadonlyMap<Arrival, number>;
  /** Mean memory in use within the capacity of each engine, and above it, as shares of all memory. */
  readonly used: number;
  readonly overflow: number;
}

interface ReplayNode {
  readonly members: readonly FleetMember[];
  readonly used: Map<string, number>;
  readonly queue: WaitingQueue;
  readonly waitUntil: Map<string, number>;
  readonly peers: PeerDemand;
  readonly arrivals: UrgentArrivals;
  sharedAtMs: number;
}

const createNode = (): ReplayNode => {
  const fleet = Fleet.create();
  for (let index = 0; index < engineCount; index += 1) {
    const id = String(index);
    fleet.register(
      {
        ...{ id, service: 'text', address: `127.0.0.1:${id}`, dataCentre: 'a', version: 'v1' },
        ...{ slots: 24, state: 'ready', coldLeftMs: 0 },
      },
      0,
    );
  }
  return {
    members: fleet.ofService('text'),
    used: new Map(),
    queue: WaitingQueue.create(256, () => 0),
    waitUntil: new Map(),
    peers: PeerDemand.create(),
    arrivals: UrgentArrivals.create(),
    sharedAtMs: -Infinity,
  };
};

/** Plays arrivals at many nodes, which learn of each other with a delay. */
const replay = (arrivals: readonly Arrival[], shares: boolean): Outcome => {
  const random = Random.create(1);
  const nodes = Array.from({ length: nodeCount }, createNode);
  const started = new Map<Arrival, number>();
  const trueUse = new Map<string, number>();
  const changes: Change[] = [];
  let usedSum = 0;
  let overflowSum = 0;
  let samples = 0;

  const later = (dueMs: number, apply: () => void): void => {
    changes.push({ dueMs, apply });
  };
  const applyDue = (nowMs: number): void => {
    const due = changes.filter(({ dueMs }) => dueMs <= nowMs);
    const left = changes.filter(({ dueMs }) => dueMs > nowMs);
    changes.splice(0, changes.length, ...left);
    for (const { apply } of due) {
      apply();
    }
  };
  const delayMs = (): number => minDelayMs + random() * (maxDelayMs - minDelayMs);

  /** The node knows at once, the others with one delay for the update. */
  const changeUse = (node: ReplayNode, engine: string, tokens: number, nowMs: number): void => {
    const total = (trueUse.get(engine) ?? 0) + tokens;
    trueUse.set(engine, total);
    node.used.set(engine, (node.used.get(engine) ?? 0) + tokens);
    later(nowMs + delayMs(), () => {
      const name = String(nodes.indexOf(node));
      for (const other of nodes) {
        if (other !== node) {
          other.used.set(engine, (other.used.get(engine) ?? 0) + tokens);
          if (tokens > 0) {
            other.peers.recordStarts(name, tokens);
          }
        }
      }
    });
  };

  const attempt = (
    node: ReplayNode,
    arrival: Arrival,
    request: WaitingRequest,
    ahead: RoomAhead,
    nowMs: number,
  ) => {
    const { need, runMs, priority } = arrival.kind;
    const elsewhere = shares ? node.peers.tokensAhead(request, () => 0, nowMs) : 0;
    const admission = admitGeneration(
      node.members,
      need,
      engineTokens,
      {
        nowMs,
        excludedUpstreams: ahead.savedEngines,
        withdrawnDataCentres: new Set(),
        allows: () => true,
        unknownPlacements: 3,
        peerUse: (upstream) => ({
          ...{ upstream, requests: 0, promptTokens: 0, copyTokens: 0 },
          memoryTokens: node.used.get(upstream) ?? 0,
        }),
      },
      {
        reserveShare: 0,
        firstEventWithinMs: Infinity,
        tokensAhead: ahead.tokens + elsewhere,
        urgentRoom: shares ? node.peers.urgentRoom(priority) : { tokens: 0, tokensEach: 0 },
      },
      random,
    );
    if (admission.kind !== 'placed') {
      return admission.kind === 'no-memory' && admission.roomiestEngine !== undefined
        ? { kind: 'waits' as const, savedEngine: admission.roomiestEngine }
        : { kind: 'waits' as const };
    }
    const { id } = admission.member.upstream;
    started.set(arrival, nowMs - arrival.atMs);
    changeUse(node, id, request.tokens, nowMs);
    // Generations of one length would end together and leave room in bursts only.
    const endMs = nowMs + runMs * (0.3 + 1.4 * random());
    later(endMs, () => {
      changeUse(node, id, -request.tokens, endMs);
    });
    return { kind: 'left' as const, started: true };
  };

  const shareDemand = (node: ReplayNode, name: string, nowMs: number): void => {
    const waiting = [...node.queue.requests()].map((request) => ({
      ...request,
      waitUntilMs: node.waitUntil.get(request.id) ?? 0,
    }));
    const needs = node.arrivals.needs(nowMs);
    node.peers.updateNeeds('', needs);
    node.sharedAtMs = nowMs;
    later(nowMs + delayMs(), () => {
      for (const other of nodes) {
        if (other !== node) {
          other.peers.update(name, waiting);
          other.peers.updateNeeds(name, needs);
        }
      }
    });
  };

  let next = 0;
  for (let nowMs = 0; nowMs < loadMs + 3000; nowMs += stepMs) {
    applyDue(nowMs);
    if (nowMs > warmUpMs && nowMs < loadMs) {
      samples += 1;
      for (const tokens of trueUse.values()) {
        usedSum += Math.min(engineTokens, tokens);
        overflowSum += Math.max(0, tokens - engineTokens);
      }
    }
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const arrival = arrivals[next];
      const node = nodes[arrival?.node ?? 0];
      if (arrival !== undefined && node !== undefined) {
        const { priority, need, maxWaitMs } = arrival.kind;
        const tokens = need.promptTokens + need.outputTokens;
        node.arrivals.record(priority, tokens, maxWaitMs, nowMs);
        node.waitUntil.set(String(next), arrival.atMs + maxWaitMs);
        node.queue.add({
          ...{ id: String(next), priority, isReturn: false, account: '', tokens },
          deadlineAtMs: arrival.atMs + 10 * maxWaitMs,
        });
      }
    }
    for (const [index, node] of nodes.entries()) {
      for (const { id } of [...node.queue.requests()]) {
        if (nowMs > (node.waitUntil.get(id) ?? 0)) {
          node.queue.remove(id);
        }
      }
      node.queue.serve((request, ahead) => {
        const arrival = arrivals[Number(request.id)];
        return arrival === undefined
          ? { kind: 'left', started: false }
          : attempt(node, arrival, request, ahead, nowMs);
      });
      if (shares && nowMs - node.sharedAtMs >= 500 && node.queue.length() > 0) {
        shareDemand(node, String(index), nowMs);
      } else if (shares && nowMs - node.sharedAtMs >= 5000) {
        shareDemand(node, String(index), nowMs);
      }
    }
  }
  const capacity = samples * engineCount * engineTokens;
  return { started, used: usedSum / capacity, overflow: overflowSum / capacity };
};

/** Arrivals with random gaps at random nodes. */
const arrivalsOf = (kind: Kind, perSecond: number, seed: number): readonly Arrival[] => {
  const random = Random.create(seed);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1000) / perSecond;
    if (atMs > loadMs) {
      return arrivals;
    }
    arrivals.push({ kind, atMs, node: Math.floor(random() * nodeCount) });
  }
};

const servedShare = (arrivals: readonly Arrival[], { started }: Outcome, kind: Kind): number => {
  const matching = arrivals.filter((one) => one.kind === kind && one.atMs > warmUpMs);
  return matching.filter((arrival) => started.has(arrival)).length / matching.length;
};

describe('admission at many nodes', () => {
  const arrivals = [...arrivalsOf(long, 40, 1), ...arrivalsOf(short, 19, 2)].sort(
    (a, b) => a.atMs - b.atMs,
  );

  it('serves urgent generations at all nodes in a burst of long ones at twice the rate', function () {
    // Guards against urgent requests without room because long ones of other nodes, which know of them
    // 0.25 s later, fill the engines, and against engines that are left idle for them.
    this.timeout(60_000);
    const alone = replay(arrivals, false);
    const together = replay(arrivals, true);
    expect(servedShare(arrivals, alone, short)).to.be.lessThan(0.6);
    expect(servedShare(arrivals, together, short)).to.be.greaterThan(0.95);
    expect(servedShare(arrivals, together, long)).to.be.greaterThan(0.45);
    expect(together.used).to.be.greaterThan(alone.used - 0.02);
    expect(together.overflow).to.be.lessThan(alone.overflow / 2);
  });
});
