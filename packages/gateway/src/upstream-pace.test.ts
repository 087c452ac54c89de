import { expect } from 'chai';
import { createSite, need, nodeCount, type Model, type Site } from './pace-replay.js';

const plainSlots = 6;
/** Of the 800 a second that four plain upstreams bear. */
const fullLoadPerSecond = 740;
const stepMs = 50;
const engineCount = 34;
const engineSlots = 24;
const generationsPerSecond = 36;

const plainSite = (isShared: boolean): { site: Site; first: Model } => {
  const site = createSite({ serviceMs: 30, queue: 24, streamMs: 0, isShared });
  const [first] = ['app-0', 'app-1', 'app-2', 'app-3'].map((id) => site.add(id, plainSlots));
  if (first === undefined) {
    throw new Error('no upstream');
  }
  site.run(3000, fullLoadPerSecond);
  return { site, first };
};

/** Runs at full load; returns the largest number of requests inside the upstream in that time. */
const maxInside = (site: Site, model: Model, forMs: number): number => {
  model.maxInside = 0;
  site.run(forMs, fullLoadPerSecond);
  return model.maxInside;
};

const limitsOf = (site: Site, id: string): readonly (number | undefined)[] =>
  site.nodes.map(({ pace }) => pace.limits().get(id));

describe('pace of upstreams', () => {
  it('lets a plain upstream recover under full load', () => {
    // Guards against a recovered upstream that all nodes flood at once, or that stays idle.
    const { site, first } = plainSite(true);
    first.isDown = true;
    site.run(3000, fullLoadPerSecond);
    first.isDown = false;
    const refusedBefore = first.refused;
    const isRising = (): boolean => limitsOf(site, 'app-0').every((limit) => limit !== undefined);
    let mostInside = 0;
    let riseMs = 0;
    while (isRising()) {
      mostInside = Math.max(mostInside, maxInside(site, first, stepMs));
      riseMs += stepMs;
    }
    expect(mostInside).to.be.within(1, plainSlots);
    // Nodes avoid an upstream for half a second after a connection to it has failed.
    expect(riseMs).to.be.within(500, 2000);
    expect(first.refused).to.equal(refusedBefore);
    site.run(2000 - riseMs, fullLoadPerSecond);
    expect(new Set(limitsOf(site, 'app-0'))).to.deep.equal(new Set([undefined]));
  });

  it('lets a plain upstream start under full load', () => {
    // Guards against a new upstream that all nodes choose at the same time, as it is idle.
    const { site } = plainSite(true);
    site.remove('app-0');
    site.run(1000, fullLoadPerSecond);
    const fresh = site.add('app-9', plainSlots);
    expect(maxInside(site, fresh, 300)).to.be.within(1, plainSlots);
    expect(fresh.refused).to.equal(0);
    site.run(1700, fullLoadPerSecond);
    expect(new Set(limitsOf(site, 'app-9'))).to.deep.equal(new Set([undefined]));
    expect(site.risesMs).to.have.length(nodeCount);
  });

  it('is not set back by one node that reaches an upstream no more', () => {
    // Guards against a node with a broken path that takes a sound upstream away from all others.
    const { site, first } = plainSite(true);
    first.isDown = true;
    for (let request = 0; request < 50; request += 1) {
      site.nodes[0]?.send(undefined);
      site.clock.advance(100);
    }
    expect(first.lost).to.be.greaterThan(0);
    expect(new Set(limitsOf(site, 'app-0'))).to.deep.equal(new Set([undefined]));
  });

  it('rests beside nodes of an earlier version', () => {
    // Guards against nodes that hold back alone, while those of an earlier version take the room.
    const { site } = plainSite(false);
    site.remove('app-0');
    site.run(1000, fullLoadPerSecond);
    const fresh = site.add('app-9', plainSlots);
    expect(maxInside(site, fresh, 300)).to.be.greaterThan(plainSlots);
  });

  it('spreads requests to a sixth of the engines that restart every 3.3 s', () => {
    // Guards against restarted engines that get more prompts than they bear while they are slow, and
    // against generations for which the pace leaves no engine.
    const site = createSite({ serviceMs: 420, queue: 100, streamMs: 6000, isShared: true });
    for (let index = 0; index < engineCount; index += 1) {
      site.add(`engine-${String(index)}`, engineSlots);
    }
    site.run(3000, generationsPerSecond, need);
    const started: Model[] = [];
    for (let round = 0; round < 5; round += 1) {
      for (const id of [...site.models.keys()].slice(0, engineCount / 6)) {
        site.remove(id);
      }
      site.run(1650, generationsPerSecond, need);
      for (let index = 0; index < Math.floor(engineCount / 6); index += 1) {
        const engine = site.add(`engine-${String(round)}-${String(index)}`, engineSlots);
        engine.freeAtMs = site.clock.monotonicMs() + 1000;
        started.push(engine);
      }
      site.run(1650, generationsPerSecond, need);
    }
    for (const engine of started) {
      expect(engine.maxInside).to.be.within(1, engineSlots / 6 + 1);
    }
    expect(site.unplaced()).to.equal(0);
    const inTime = site.risesMs.filter((tookMs) => tookMs <= 10_000);
    expect(inTime.length).to.be.greaterThan(site.risesMs.length / 2);
  });

  for (const copy of [undefined, { reference: 'copy' }]) {
    it(`rises by long ${copy === undefined ? 'generations' : 'moved streams'} that come at once`, () => {
      // Guards against an engine that stays at its first step until the streams there have ended.
      const site = createSite({ serviceMs: 60, queue: 100, streamMs: 60_000, isShared: true });
      site.run(100, 0);
      site.add('engine-1', engineSlots);
      site.clock.advance(100);
      for (const node of site.nodes.slice(0, engineSlots / 6)) {
        node.send(need, copy);
      }
      site.clock.advance(1000);
      expect(new Set(limitsOf(site, 'engine-1'))).to.deep.equal(new Set([engineSlots / 3]));
    });
  }

  it('keeps a node that is cut off within its part', () => {
    // Guards against a node that hears of no other one and fills the upstream by itself.
    const { site } = plainSite(true);
    site.setAlive(0);
    site.add('app-9', plainSlots);
    let allowed = 0;
    for (const { cluster, pace } of site.nodes) {
      const member = cluster.fleet.members.get('app-9');
      allowed += member !== undefined && pace.allows(member) ? 1 : 0;
    }
    expect(allowed).to.equal(1);
  });
});
