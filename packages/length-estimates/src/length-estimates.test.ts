import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import {
  LengthEstimates,
  learnLength,
  lengthKey,
  memoryCurve,
  peakOf,
  peakOfSum,
  remainingMoments,
  remainingQuantile,
} from './index.js';

const key = lengthKey('reports', 'm1');

/** Estimates after complete generations of the given lengths. */
const learnedFrom = (lengths: readonly number[]): LengthEstimates => {
  let estimates = LengthEstimates.create();
  for (const toTokens of lengths) {
    estimates = learnLength(estimates, key, { fromTokens: 0, toTokens, ended: true });
  }
  return estimates;
};

const heavyTailed = (count: number): number[] => {
  const random = Random.create(3);
  return Array.from({ length: count }, () => Math.ceil(100 * (1 - random()) ** -0.8));
};

describe('length estimates', () => {
  it('has a wide prior without data', () => {
    const estimates = LengthEstimates.create();
    const median = remainingQuantile(estimates, key, 0, 0.5);
    expect(median).to.be.within(200, 400);
    expect(remainingQuantile(estimates, key, 0, 0.95)).to.be.above(5 * median);
  });

  it('approximates the quantiles of the observed lengths', () => {
    const lengths = heavyTailed(3000);
    const sorted = [...lengths].sort((a, b) => a - b);
    const estimates = learnedFrom(lengths);
    for (const quantile of [0.5, 0.9, 0.95]) {
      const actual = sorted[Math.floor(quantile * sorted.length)] ?? 0;
      expect(remainingQuantile(estimates, key, 0, quantile)).to.be.within(
        0.75 * actual,
        1.3 * actual,
      );
    }
  });

  it('expects more tokens from a generation that is already longer than most', () => {
    const estimates = learnedFrom(heavyTailed(3000));
    const [atStart, later] = [0, 1000].map((n) => remainingMoments(estimates, key, n).mean);
    expect(later).to.be.above(2 * (atStart ?? 0));
  });

  it('includes running generations, so that long ones are not missed', () => {
    let estimates = learnedFrom(Array.from({ length: 100 }, () => 50));
    const before = remainingQuantile(estimates, key, 0, 0.95);
    for (let i = 0; i < 50; i += 1) {
      const progress = { fromTokens: 0, toTokens: 2000, ended: false };
      estimates = learnLength(estimates, key, progress);
    }
    expect(remainingQuantile(estimates, key, 0, 0.95)).to.be.above(10 * before);
  });

  it('expects a peak of a batch no higher than the sum of the peaks of its streams', () => {
    const estimates = learnedFrom(heavyTailed(3000));
    const newStream = memoryCurve(estimates, key, { promptTokens: 100, tokensSoFar: 0 });
    const longStream = memoryCurve(estimates, key, { promptTokens: 100, tokensSoFar: 4000 });
    expect(peakOf(newStream)).to.be.within(101, 1000);
    expect(peakOf(longStream)).to.be.above(4099);
    expect(peakOfSum(newStream, longStream)).to.be.at.most(peakOf(newStream) + peakOf(longStream));
  });

  it('never expects more tokens than the request allows', () => {
    expect(remainingQuantile(LengthEstimates.create(), key, 10, 0.99, 40)).to.be.at.most(30);
    expect(remainingMoments(LengthEstimates.create(), key, 10, 40).mean).to.be.at.most(30);
  });

  it('keeps a bounded number of distributions', () => {
    let estimates = LengthEstimates.create();
    for (let i = 0; i < 1000; i += 1) {
      const progress = { fromTokens: 0, toTokens: 5, ended: true };
      estimates = learnLength(estimates, `service-${i}|`, progress);
    }
    expect(estimates.distributions.size).to.be.at.most(256);
  });
});
