import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { percentile } from '../measurement.js';
import { deployments, engineCount } from './deployments.js';
import { createArrivals, drawLength, sustainedPerSecond } from './workload.js';

describe('workload of the load model', () => {
  it('has a heavy tail: the longest outputs are many times the median', () => {
    const random = Random.create(1);
    const parameters = {
      medianTokens: 500,
      sigma: 0.8,
      tailShare: 0.06,
      tailExponent: 1.6,
      maxTokens: 1e6,
    };
    const lengths = Array.from({ length: 20_000 }, () => drawLength(parameters, random));
    expect(percentile(lengths, 0.5)).to.be.within(450, 600);
    expect(percentile(lengths, 0.999)).to.be.above(20 * percentile(lengths, 0.5));
  });

  for (const deployment of deployments) {
    it(`gives the same requests for the same seed (${deployment.name})`, () => {
      const workload = {
        deployment,
        generationsPerSecond: sustainedPerSecond(deployment, engineCount(deployment)),
        durationMs: 5000,
        rateSwing: 0.2,
        swingPeriodMs: 20_000,
      };
      const [a, b] = [3, 3].map((seed) => createArrivals(workload, Random.create(seed)));
      expect(a).to.deep.equal(b);
      expect(a?.length).to.be.above(50);
    });
  }
});
