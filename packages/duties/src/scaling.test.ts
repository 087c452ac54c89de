import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import {
  decideOrder,
  initialScalingState,
  observeScaling,
  orderedCount,
  recordOrder,
  shareOfDataCentre,
  type ScalingLimits,
  type ScalingSample,
  type ScalingState,
} from './scaling.js';

const stepMs = 250;
const streamsPerUpstream = 7;
const streamMs = 10_000;
const maxWaitMs = 900;
const replacementMs = 4000;
const noticeMs = 2000;
const limits: ScalingLimits = { min: 1, max: 14, bootMs: 4000 };
const dataCentres = ['a', 'b'];

interface Scenario {
  readonly durationMs: number;
  /** Streams that begin in a second. */
  readonly rate: (atMs: number) => number;
  /** Share of the upstreams that are reclaimed each 3.3 s. */
  readonly reclaimedShare?: number;
  readonly firstCount: number;
  readonly knowsWaiting?: boolean;
  /** Part of the capacity that new streams leave free. */
  readonly reserveShare?: number;
  readonly withdrawn?: (atMs: number) => readonly string[];
}

interface Site {
  /** Times from which the upstreams of a data centre serve. */
  upstreams: number[];
  /** Times until which reclaimed upstreams still run, without new requests. */
  leaving: number[];
  state: ScalingState;
  readonly orders: { atMs: number; count: number }[];
}

interface Outcome {
  readonly arrived: number;
  readonly refused: number;
  /** Mean number of upstreams that are billed. */
  readonly meanCount: number;
  readonly sites: ReadonlyMap<string, Site>;
}

/** Plays streams of two data centres whose holders order upstreams; streams share all upstreams. */
const replay = (scenario: Scenario): Outcome => {
  const random = Random.create(7);
  const sites = new Map<string, Site>();
  for (const dataCentre of dataCentres) {
    const upstreams = Array.from({ length: scenario.firstCount }, () => 0);
    sites.set(dataCentre, { upstreams, leaving: [], state: initialScalingState, orders: [] });
  }
  let ends: number[] = [];
  let waiting: number[] = [];
  let [arrived, refused, billed, due, reclaims] = [0, 0, 0, 0, 0];
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += stepMs) {
    const open = dataCentres.filter((name) => !scenario.withdrawn?.(nowMs).includes(name));
    ends = ends.filter((atMs) => atMs > nowMs);
    due += (scenario.rate(nowMs) * stepMs) / 1000;
    for (; due >= 1; due -= 1) {
      arrived += 1;
      waiting.push(nowMs);
    }
    let serving = 0;
    for (const [name, site] of sites) {
      site.leaving = site.leaving.filter((atMs) => atMs > nowMs);
      reclaims += ((scenario.reclaimedShare ?? 0) * site.upstreams.length * stepMs) / 3300;
      for (; reclaims >= 1 && site.upstreams.length > 0; reclaims -= 1) {
        site.upstreams.splice(Math.floor(random() * site.upstreams.length), 1);
        site.upstreams.push(nowMs + noticeMs + replacementMs);
        site.leaving.push(nowMs + noticeMs);
      }
      serving += open.includes(name) ? site.upstreams.filter((atMs) => atMs <= nowMs).length : 0;
      billed += site.upstreams.length + site.leaving.length;
    }
    const admitted = serving * (1 - (scenario.reserveShare ?? 0));
    while (waiting.length > 0 && ends.length < admitted * streamsPerUpstream) {
      waiting.shift();
      ends.push(nowMs + streamMs * (0.5 + random()));
    }
    const patient = waiting.filter((atMs) => nowMs - atMs < maxWaitMs);
    refused += waiting.length - patient.length;
    waiting = patient;
    for (const [name, site] of sites) {
      const localServing = site.upstreams.filter((atMs) => atMs <= nowMs).length;
      const sample: ScalingSample = {
        atMs: nowMs,
        load: ends.length / streamsPerUpstream,
        waiting: scenario.knowsWaiting === false ? undefined : waiting.length / streamsPerUpstream,
        serving,
        reserveShare: scenario.reserveShare ?? 0,
        localLoad: ends.length / streamsPerUpstream / dataCentres.length,
        localServing,
        isWhole: true,
      };
      const sharing = { dataCentre: name, dataCentres: open };
      site.state = observeScaling(site.state, sample, limits, sharing);
      const count = decideOrder(site.state, sample, limits, sharing);
      if (count !== undefined) {
        site.state = recordOrder(site.state, { atMs: nowMs, count }, limits);
        site.orders.push({ atMs: nowMs, count });
        while (site.upstreams.length < count) {
          site.upstreams.push(nowMs + limits.bootMs);
        }
        site.upstreams.splice(count);
      }
    }
  }
  return { arrived, refused, meanCount: (billed * stepMs) / scenario.durationMs, sites };
};

const wave = (atMs: number): number => 7 * (1 + 0.55 * Math.sin((2 * Math.PI * atMs) / 10_000));

const allOrders = (outcome: Outcome): readonly { atMs: number; count: number }[] =>
  [...outcome.sites.values()].flatMap(({ orders }) => orders);

describe('order of upstreams', () => {
  it('serves waves without following them up and down', () => {
    // Guards against orders in step with the waves, which pay for starts and refuse each rise.
    const outcome = replay({ durationMs: 240_000, rate: wave, firstCount: 8 });
    expect(outcome.refused / outcome.arrived).to.be.lessThan(0.01);
    expect(allOrders(outcome).length).to.be.lessThan(12);
    expect(outcome.meanCount).to.be.lessThan(2 * 10);
  });

  for (const knowsWaiting of [true, false]) {
    it(`follows a jump ${knowsWaiting ? 'of the demand' : 'that only full upstreams show'}`, () => {
      // Guards against a jump whose end is over before upstreams are ordered for it.
      const outcome = replay({
        durationMs: 120_000,
        rate: (atMs) => (atMs < 40_000 ? 4 : 15),
        firstCount: 5,
        knowsWaiting,
      });
      const times = allOrders(outcome).map(({ atMs }) => atMs);
      expect(Math.min(...times.filter((atMs) => atMs >= 40_000))).to.be.within(40_000, 43_000);
      expect(outcome.refused / outcome.arrived).to.be.lessThan(knowsWaiting ? 0.04 : 0.08);
    });
  }

  it('orders more where new streams leave a part of the capacity free', () => {
    // Guards against upstreams that never look full while callers are refused.
    const outcome = replay({
      durationMs: 160_000,
      // Slow enough not to be answered as growth.
      rate: (atMs) => Math.min(8, atMs / 10_000),
      firstCount: 7,
      knowsWaiting: false,
      reserveShare: 0.3,
    });
    for (const { orders } of outcome.sites.values()) {
      expect(orders.at(-1)?.count).to.be.at.least(8);
    }
    expect(outcome.refused / outcome.arrived).to.be.lessThan(0.02);
  });

  it('orders more where upstreams are reclaimed, and not for each that is', () => {
    // Guards against orders for upstreams that the platform replaces by itself.
    const scenario = { durationMs: 240_000, rate: wave, reclaimedShare: 0.17, firstCount: 9 };
    const outcome = replay(scenario);
    expect(outcome.refused / outcome.arrived).to.be.lessThan(0.03);
    expect(allOrders(outcome).length).to.be.lessThan(20);
  });

  it('gives upstreams back one at a time after a calm time, down to the lower limit', () => {
    // Guards against a short lull that ends upstreams which the next rise needs.
    const outcome = replay({
      durationMs: 300_000,
      rate: (atMs) => (atMs < 20_000 ? 10 : 0.1),
      firstCount: 10,
    });
    for (const { orders } of outcome.sites.values()) {
      const down = orders.filter(({ atMs }) => atMs > 20_000);
      expect(down[0]?.atMs).to.be.at.least(50_000);
      expect(down.at(-1)?.count).to.equal(limits.min);
      for (const [index, { atMs, count }] of down.entries()) {
        const before = down[index - 1];
        expect(before?.count ?? count + 1).to.equal(count + 1);
        expect(atMs - (before?.atMs ?? -Infinity)).to.be.at.least(10_000);
      }
    }
  });

  it('moves the load of a withdrawn data centre to the others and orders nothing there', () => {
    // Guards against an order for a data centre whose machines are taken away.
    const isWithdrawn = (atMs: number): boolean => atMs >= 60_000 && atMs < 120_000;
    const outcome = replay({
      durationMs: 180_000,
      rate: () => 5,
      firstCount: 5,
      withdrawn: (atMs) => (isWithdrawn(atMs) ? ['a'] : []),
    });
    const ordersOf = (name: string): readonly number[] =>
      (outcome.sites.get(name)?.orders ?? [])
        .filter(({ atMs }) => isWithdrawn(atMs))
        .map(({ count }) => count);
    expect(ordersOf('a')).to.deep.equal([]);
    expect(Math.max(...ordersOf('b'))).to.be.at.least(9);
  });

  it('keeps what streams in flight need, whatever the expected load', () => {
    // Guards against an upstream that is taken away while the others have no room for its streams.
    const sharing = { dataCentre: 'a', dataCentres: ['a'] };
    let state = initialScalingState;
    const sampleAt = (atMs: number, localLoad: number): ScalingSample => ({
      atMs,
      load: 0,
      waiting: 0,
      serving: 4,
      reserveShare: 0,
      localLoad,
      localServing: 4,
      isWhole: true,
    });
    for (let atMs = 0; atMs <= 40_000; atMs += 500) {
      state = observeScaling(state, sampleAt(atMs, 3.5), limits, sharing);
    }
    expect(decideOrder(state, sampleAt(40_000, 3.5), limits, sharing)).to.equal(undefined);
    expect(decideOrder(state, sampleAt(40_000, 2.5), limits, sharing)).to.equal(3);
  });

  it('gives nothing back while the load of some nodes is unknown', () => {
    // Guards against a holder that is cut off from the others and takes their load for none.
    const sharing = { dataCentre: 'a', dataCentres: ['a'] };
    const play = (isWhole: (atMs: number) => boolean): number | undefined => {
      let state = initialScalingState;
      const sampleAt = (atMs: number): ScalingSample => ({
        ...{
          atMs,
          load: 0,
          waiting: 0,
          serving: 4,
          reserveShare: 0,
          localLoad: 0,
          localServing: 4,
        },
        isWhole: isWhole(atMs),
      });
      for (let atMs = 0; atMs <= 40_000; atMs += 500) {
        state = observeScaling(state, sampleAt(atMs), limits, sharing);
      }
      return decideOrder(state, sampleAt(40_000), limits, sharing);
    };
    expect(play(() => true)).to.equal(3);
    expect(play((atMs) => atMs !== 20_000)).to.equal(undefined);
  });

  it('stays between the limits, and begins with what runs', () => {
    // Guards against a first order that ends upstreams which run already.
    const sharing = { dataCentre: 'a', dataCentres: ['a'] };
    const sampleAt = (atMs: number, load: number, localServing: number): ScalingSample => ({
      atMs,
      load,
      waiting: 0,
      serving: localServing,
      reserveShare: 0,
      localLoad: load,
      localServing,
      isWhole: true,
    });
    const play = (load: number, counts: readonly number[]): number | undefined => {
      let state = initialScalingState;
      for (const [index, count] of counts.entries()) {
        state = observeScaling(state, sampleAt(index * 500, load, count), limits, sharing);
      }
      return decideOrder(state, sampleAt(counts.length * 500, load, 0), limits, sharing);
    };
    expect(play(100, [3, 3, 3, 3, 3])).to.equal(limits.max);
    expect(play(0, [0, 0, 0, 0, 0])).to.equal(limits.min);
    // Two of five are about to be replaced.
    expect(play(3, [5, 5, 3, 3, 3])).to.equal(undefined);
    expect(orderedCount(initialScalingState)).to.equal(0);
  });

  it('shares upstreams among data centres without a rest', () => {
    // Guards against one upstream more in each data centre than all of them need together.
    const names = ['c', 'a', 'b'];
    const shares = names.map((dataCentre) =>
      shareOfDataCentre(8, { dataCentre, dataCentres: names }),
    );
    expect(shares).to.deep.equal([2, 3, 3]);
    expect(shareOfDataCentre(8, { dataCentre: 'd', dataCentres: names })).to.equal(0);
  });
});
