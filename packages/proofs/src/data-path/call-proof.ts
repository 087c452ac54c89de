import type { CallFaults, CallSimulationOptions } from '@zinniagrade/measure';
import { runCallSimulation } from '@zinniagrade/measure';
import type fc from 'fast-check';
import type { Proof } from '../proof.js';
import { runManySeeds } from './many-seeds.js';

type CallProofOptions = Partial<
  Pick<CallSimulationOptions, 'calls' | 'callerAttempts' | 'chosenKeyShare'>
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
      const outcome = await runCallSimulation({
        seed,
        policy,
        faults: generatedFaults,
        ...options,
      });
      if (promise === 'at-most-once') {
        return outcome.duplicateExecutions > 0
          ? `${outcome.duplicateExecutions} calls ran more than once`
          : undefined;
      }
      return outcome.falselyReportedNotRun > 0
        ? `${outcome.falselyReportedNotRun} calls ran that were answered as not run`
        : undefined;
    }),
});
