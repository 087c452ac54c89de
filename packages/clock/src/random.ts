import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number that is uniformly distributed in [0, 1). */
export type Random = () => number;

/** Deterministic pseudo-random numbers: the same seed gives the same sequence. */
export const Random = {
  create: (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
  },
};
