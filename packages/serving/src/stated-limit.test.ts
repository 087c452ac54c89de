import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { countSenders, StatedLimit } from './stated-limit.js';

const secondMs = 1000;
const windowMs = 4000;
/** Time from the first statement after which the limit has to hold, and how far it is then met. */
const settleMs = 3000;
const maxInWindow = (perSecond: number): number => (1.5 * perSecond * windowMs) / secondMs + 5;

interface Replay {
  readonly nodes: number;
  readonly perSecond: number;
  /** Requests per second that nodes want to send to the upstream, all together. */
  readonly demand: number;
}

/** Sends through many nodes; the upstream states its limit after 5 s. Returns the send times. */
const replay = ({ nodes, perSecond, demand }: Replay): readonly number[] => {
  const random = Random.create(nodes);
  const limits = Array.from({ length: nodes }, () => StatedLimit.create());
  const senders = countSenders(perSecond, nodes);
  const sends: number[] = [];
  const statedAtMs = 5 * secondMs;
  let stated = false;
  for (let nowMs = 0; nowMs < 30 * secondMs; nowMs += 1) {
    if (nowMs >= statedAtMs && nowMs % secondMs === 0) {
      const earlier = limits.map((limit) => (stated ? 0 : limit.recentSends(nowMs)));
      for (const [index, limit] of limits.entries()) {
        limit.update({ perSecond, statedAtMs: nowMs });
        limit.recordEarlierSends(
          earlier.reduce((sum, count, node) => sum + (node === index ? 0 : count), 0),
        );
      }
      stated = true;
    }
    if (random() < demand / secondMs) {
      const node = Math.floor(random() * nodes);
      const limit = limits[node];
      if (limit?.allowsSend(senders, nowMs) === true && (!stated || node < senders)) {
        limit.recordSend(nowMs);
        sends.push(nowMs - statedAtMs);
      }
    }
  }
  return sends;
};

const countBetween = (sends: readonly number[], fromMs: number, toMs: number): number =>
  sends.filter((atMs) => atMs > fromMs && atMs <= toMs).length;

describe('stated limit', () => {
  for (const nodes of [2, 8, 77, 195]) {
    for (const perSecond of [0.4, 2.2, 3.2, 40]) {
      it(`holds over ${String(nodes)} nodes at ${String(perSecond)} requests a second`, () => {
        // Guards against a sum of all nodes above the limit, also by what was sent just before.
        const sends = replay({ nodes, perSecond, demand: 5 * perSecond });
        for (const endMs of sends.filter((atMs) => atMs >= settleMs)) {
          const count = countBetween(sends, endMs - windowMs, endMs);
          expect(count, `until ${String(endMs)} ms`).to.be.at.most(maxInWindow(perSecond));
        }
      });
    }
  }

  it('lets nearly the whole limit be used', () => {
    // Guards against an upstream in need that gets far less than it states.
    const sends = replay({ nodes: 8, perSecond: 3.2, demand: 40 });
    expect(countBetween(sends, 10 * secondMs, 20 * secondMs)).to.be.at.least(0.8 * 32);
  });

  it('ends when the upstream states it no longer, and only by a newer statement', () => {
    // Guards against a limit that stays, and against one that a late message ends.
    const limit = StatedLimit.create();
    limit.update({ perSecond: 0, statedAtMs: 2000 });
    expect(limit.allowsSend(1, 2500)).to.equal(false);
    expect(limit.update({ perSecond: undefined, statedAtMs: 1900 })).to.equal(false);
    expect(limit.perSecond(2500)).to.equal(0);
    expect(limit.update({ perSecond: undefined, statedAtMs: 2600 })).to.equal(true);
    expect(limit.allowsSend(1, 2700)).to.equal(true);
  });

  it('is forgotten when no statement of it comes any more', () => {
    // Guards against a limit for ever at nodes that missed its end.
    const limit = StatedLimit.create();
    limit.update({ perSecond: 3, statedAtMs: 0 });
    expect(limit.perSecond(14 * secondMs)).to.equal(3);
    expect(limit.perSecond(60 * secondMs)).to.equal(undefined);
  });
});
