import fc from 'fast-check';
import type { Verdict } from '../proof.js';

const generatorSeed = 20_260_101;

/** How a run broke its promise; undefined if it kept it. */
export type Violation = string | undefined;

/**
 * Runs a simulation many times, each with a generated seed and generated faults. The verdict gives the
 * seed and faults of the first run that breaks the promise, so that it can be reproduced.
 */
export const runManySeeds = async <Faults>(
  faults: fc.Arbitrary<Faults>,
  run: (seed: number, faults: Faults) => Promise<Violation>,
  runCount = 60,
): Promise<Verdict> => {
  let violation: Violation;
  const property = fc.asyncProperty(fc.nat(), faults, async (seed, generatedFaults) => {
    violation = await run(seed, generatedFaults);
    return violation === undefined;
  });
  const outcome = await fc.check(property, {
    seed: generatorSeed,
    numRuns: runCount,
    endOnFailure: true,
  });
  return outcome.failed
    ? {
        held: false,
        detail: `${violation ?? 'failed'}; history ${JSON.stringify(outcome.counterexample)}`,
      }
    : { held: true, detail: `${outcome.numRuns} histories` };
};
