import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { admitGeneration } from './admission.js';
import { Fleet, type FleetMember } from './fleet.js';
import type { GenerationNeed } from './placement.js';
import { noRoomAhead, WaitingQueue, type WaitingRequest } from './waiting-queue.js';

const engineTokens = 26_900;
const stepMs = 20;

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
  readonly account?: string;
  readonly isReturn?: boolean;
}

const createEngines = (count: number): readonly FleetMember[] => {
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

/** Plays arrivals at one node; returns those that started, with the time that they had waited. */
const play = (
  engines: readonly FleetMember[],
  arrivals: readonly Arrival[],
): ReadonlyMap<Arrival, number> => {
  const random = Random.create(1);
  const started = new Map<Arrival, number>();
  const arrivalOf = new Map<string, Arrival>();
  const ends: { readonly atMs: number; readonly end: () => void }[] = [];
  const tokensByAccount = new Map<string, number>();
  const queue = WaitingQueue.create(256, (account) => tokensByAccount.get(account) ?? 0);
  const addTokens = (account: string, tokens: number): void => {
    tokensByAccount.set(account, (tokensByAccount.get(account) ?? 0) + tokens);
  };
  let next = 0;
  const endMs = Math.max(...arrivals.map(({ atMs }) => atMs)) + 3000;
  for (let nowMs = 0; nowMs < endMs; nowMs += stepMs) {
    for (const ended of ends.filter(({ atMs }) => atMs <= nowMs)) {
      ended.end();
      ends.splice(ends.indexOf(ended), 1);
    }
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const arrival = arrivals[next];
      if (arrival !== undefined) {
        const { kind, account = '', isReturn = false } = arrival;
        const id = String(next);
        arrivalOf.set(id, arrival);
        const tokens = kind.need.promptTokens + kind.need.outputTokens;
        const deadlineAtMs = arrival.atMs + 10 * kind.maxWaitMs;
        const { priority } = kind;
        queue.add({
          ...{ id, priority, isReturn, account, tokens, deadlineAtMs },
        });
      }
    }
    for (const [id, { atMs, kind }] of arrivalOf) {
      if (nowMs - atMs > kind.maxWaitMs) {
        queue.remove(id);
      }
    }
    queue.serve((request, ahead) => {
      const arrival = arrivalOf.get(request.id);
      if (arrival === undefined) {
        throw new Error('unknown request');
      }
      const { need, runMs } = arrival.kind;
      const admission = admitGeneration(
        engines,
        need,
        engineTokens,
        {
          nowMs,
          excludedUpstreams: ahead.savedEngines,
          withdrawnDataCentres: new Set(),
          allows: () => true,
          unknownPlacements: 0,
          peerUse: (upstream) => ({
            ...{ upstream, requests: 0, promptTokens: 0, memoryTokens: 0, copyTokens: 0 },
          }),
        },
        {
          reserveShare: 0,
          firstEventWithinMs: Infinity,
          tokensAhead: ahead.tokens,
          urgentRoom: ahead.urgentRoom,
        },
        random,
      );
      if (admission.kind !== 'placed') {
        return admission.kind === 'no-memory' && admission.roomiestEngine !== undefined
          ? { kind: 'waits', savedEngine: admission.roomiestEngine }
          : { kind: 'waits' };
      }
      const { member } = admission;
      started.set(arrival, nowMs - arrival.atMs);
      addTokens(request.account, request.tokens);
      member.ownRuns.set(request.id, {
        requestId: request.id,
        sentAtMs: nowMs,
        promptTokens: need.promptTokens,
        expectedTokens: request.tokens,
        hasBegun: true,
        isBackup: false,
      });
      ends.push({
        // Generations of one length would end together and leave room in bursts only.
        atMs: nowMs + runMs * (0.3 + 1.4 * random()),
        end: () => {
          member.ownRuns.delete(request.id);
          addTokens(request.account, -request.tokens);
        },
      });
      return { kind: 'left', started: true };
    });
  }
  return started;
};

const every = (kind: Kind, intervalMs: number, untilMs: number, account?: string): Arrival[] => {
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < untilMs; atMs += intervalMs) {
    arrivals.push({ kind, atMs, ...(account === undefined ? {} : { account }) });
  }
  return arrivals;
};

const inTime = (...arrivals: readonly Arrival[][]): readonly Arrival[] =>
  arrivals.flat().sort((a, b) => a.atMs - b.atMs);

const servedShare = (
  arrivals: readonly Arrival[],
  started: ReadonlyMap<Arrival, number>,
  matches: (arrival: Arrival) => boolean,
): number => {
  const matching = arrivals.filter(matches);
  return matching.filter((arrival) => started.has(arrival)).length / matching.length;
};

describe('waiting queue', () => {
  it('serves short urgent generations in a burst of long ones at twice the rate', () => {
    // Guards against urgent requests that are refused as often as the long ones that fill the engines.
    const arrivals = inTime(every(long, 120, 30_000), every(short, 300, 30_000));
    const started = play(createEngines(6), arrivals);
    const isLate = ({ atMs }: Arrival): boolean => atMs > 10_000;
    const shorts = servedShare(arrivals, started, (one) => one.kind === short && isLate(one));
    const longs = servedShare(arrivals, started, (one) => one.kind === long && isLate(one));
    expect(shorts).to.be.greaterThan(0.95);
    expect(longs).to.be.within(0.3, 0.6);
  });

  it('lets a large generation start among small ones of its priority', () => {
    // Guards against small requests that take all memory as it is freed, so that no engine ever has
    // enough for the large one.
    const large = { ...long, need: { promptTokens: 12_000, outputTokens: 1000 }, priority: 0 };
    const arrivals = inTime(
      every({ ...short, runMs: 2000, maxWaitMs: 5000 }, 110, 20_000),
      every({ ...large, maxWaitMs: 5000 }, 9000, 10_000),
    );
    const started = play(createEngines(2), arrivals);
    for (const arrival of arrivals.filter(({ kind }) => kind.need === large.need)) {
      expect(started.get(arrival)).to.be.at.most(2500);
    }
  });

  it('gives an account that sends ten times its share no more than others that want more', () => {
    // Guards against callers of a quiet account that are served less often than those of a loud one.
    const arrivals = inTime(
      every(long, 60, 30_000, 'loud'),
      every(long, 600, 30_000, 'first'),
      every(long, 600, 30_000, 'second'),
    );
    const started = play(createEngines(6), arrivals);
    const share = (account: string): number =>
      servedShare(arrivals, started, (one) => one.account === account && one.atMs > 10_000);
    expect(share('first')).to.be.greaterThan(0.75);
    expect(share('second')).to.be.greaterThan(0.75);
    expect(share('loud')).to.be.lessThan(0.2);
  });

  it('takes returning requests before new ones, and urgent ones before both', () => {
    // A caller that was refused twice doesn't come again.
    const queue = WaitingQueue.create(3, () => 0);
    const request = (id: string, priority: number, isReturn: boolean): WaitingRequest => ({
      ...{ id, priority, isReturn, account: '', tokens: 1, deadlineAtMs: 0 },
    });
    queue.add(request('new', 5, false));
    queue.add(request('return', 5, true));
    expect(queue.add(request('urgent', 0, false))).to.equal(undefined);
    const order: string[] = [];
    queue.serve(({ id }, ahead) => {
      order.push(`${id} after ${String(ahead.tokens)}`);
      return { kind: 'waits' };
    });
    expect(order).to.deep.equal(['urgent after 0', 'return after 1', 'new after 2']);
    expect(noRoomAhead.tokens).to.equal(0);
    expect(queue.add(request('more', 5, true))?.id).to.equal('new');
    expect(queue.length()).to.equal(3);
  });
});
