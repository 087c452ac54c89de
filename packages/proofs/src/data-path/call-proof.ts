import type { CallFaults, CallWorldOptions } from '@zinniagrade/measure';
import { playCallWorld } from '@zinniagrade/measure';
import type fc from 'fast-check';
import type { Proof } from '../proof.js';
import { runManySeeds } from './many-seeds.js';

type CallProofOptions = Partial<
  Pick<CallWorldOptions, 'calls' | 'callerAttempts' | 'chosenKeyShare'>
>;

/**
 * Simulates non-idempotent calls on a virtual clock: no call runs twice, and no call answered as
 * "not run" has run.
 */
export const createCallProof = (
  promise: 'at-most-once' | 'not-run-is-true',
  fault: string,
  faults: fc.Arbitrary<CallFaults>,
  options: CallProofOptions = {},
): Proof => ({
  promise,
  fault,
  run: (policy) =>
    runManySeeds(faults, async (seed, generatedFaults) => {
      const outcome = await playCallWorld({ seed, policy, faults: generatedFaults, ...options });
      if (promise === 'at-most-once') {
        return outcome.repeated > 0 ? `${outcome.repeated} calls ran more than once` : undefined;
      }
      return outcome.wronglyNotRun > 0
        ? `${outcome.wronglyNotRun} calls ran that were answered as not run`
        : undefined;
    }),
});
