import { expect } from 'chai';
import {
  beginPace,
  countPaceSenders,
  fullPace,
  judgeSpeed,
  mergePace,
  nextPace,
  paceLimit,
  reducePace,
  type Pace,
} from './pace.js';

const slots = 24;

const usual = (sentAtMs: number, inFlight: number) =>
  ({ verdict: 'usual', sentAtMs, inFlight }) as const;

describe('pace', () => {
  it('doubles up to the full share while answers are as usual', () => {
    let pace = beginPace(fullPace, slots, 0);
    const limits: (number | undefined)[] = [];
    for (let nowMs = 200; limits.at(-1) !== undefined || nowMs === 200; nowMs += 200) {
      limits.push(paceLimit(pace, nowMs));
      pace = nextPace(pace, usual(nowMs - 150, pace.limit ?? 0), slots, nowMs) ?? pace;
    }
    expect(limits).to.deep.equal([4, 8, 16, undefined]);
  });

  it('does not rise by answers that show nothing', () => {
    // Guards against a flood at the next burst, after requests that came one by one.
    const pace = beginPace(fullPace, slots, 1000);
    expect(nextPace(pace, usual(900, 4), slots, 1500), 'sent before').to.equal(undefined);
    expect(nextPace(pace, usual(1010, 1), slots, 1500), 'alone').to.equal(undefined);
    expect(nextPace(pace, usual(1010, 4), slots, 1050), 'too early').to.equal(undefined);
  });

  it('halves after failures and slow answers to requests since the last setback', () => {
    // Guards against a rise that goes on into an upstream that can't bear it, and against one
    // setback for each request that was in flight at the same time.
    const pace: Pace = { ...beginPace(fullPace, slots, 0), limit: 16, sinceMs: 500 };
    for (const verdict of ['failed', 'slow'] as const) {
      const next = nextPace(pace, { verdict, sentAtMs: 400, inFlight: 9 }, slots, 600);
      expect(next?.limit).to.equal(8);
      const again = { verdict, sentAtMs: 450, inFlight: 9 };
      expect(next && nextPace(next, again, slots, 650)).to.equal(undefined);
    }
  });

  it('ends after a while without setbacks', () => {
    // Guards against an upstream that is always slow, or rarely asked, and never gets its share.
    const pace = beginPace(fullPace, slots, 0);
    expect(paceLimit(pace, 9000)).to.equal(4);
    expect(paceLimit(pace, 10_001)).to.equal(undefined);
  });

  it('begins with half of the requests in flight if an upstream may be sound', () => {
    // Guards against a node that alone can't reach an upstream and takes it away from all others.
    expect(reducePace(fullPace, slots, 20, 0).limit).to.equal(10);
    expect(reducePace(fullPace, slots, 0, 0).limit).to.equal(4);
  });

  it('is the same at all nodes, in whatever order they hear of changes', () => {
    // Guards against nodes that keep different limits.
    const steps = [
      { step: 1, limit: 4 },
      { step: 2, limit: 8 },
      { step: 2, limit: 4 },
      { step: 3, limit: undefined },
      { step: 3, limit: 8 },
    ];
    const mergeAll = (order: typeof steps): Pace =>
      order.reduce<Pace>((pace, step) => mergePace(pace, step, 0), fullPace);
    for (const order of [steps, [...steps].reverse()]) {
      expect(mergeAll(order)).to.include({ step: 3, limit: 8 });
    }
  });

  it('compares answers with those of other upstreams', () => {
    expect([50, 150, 250, 350].map((tookMs) => judgeSpeed(tookMs, 100))).to.deep.equal([
      'usual',
      'usual',
      undefined,
      'slow',
    ]);
    expect(judgeSpeed(5000, 0), 'nothing to compare with').to.equal('usual');
    expect(judgeSpeed(20, 1), 'short').to.equal('usual');
  });

  it('lets as many nodes send as there is room for before they hear of each other', () => {
    expect(countPaceSenders(61, 4, 2)).to.equal(61);
    expect(countPaceSenders(61, 1, 6)).to.equal(11);
    expect(countPaceSenders(8, 1, 100)).to.equal(1);
  });
});
