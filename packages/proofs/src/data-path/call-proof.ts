import type { CallFaults, CallSimulationOptions } from '@zinniagrade/measure';
import { runCallSimulation } from '@zinniagrade/measure';
import type fc from 'fast-check';
import type { Proof } from '../proof.js';
import { playManySeeds } from './many-seeds.js';

type Options = Partial<Pick<CallSimulationOptions, 'calls' | 'callerAttempts' | 'chosenKeyShare'>>;

/** Non-idempotent calls on a virtual clock: none runs twice, and "not run" is never wrong. */
export const createCallProof = (
  promise: 'at-most-once' | 'not-run-is-true',
  fault: string,
  faults: fc.Arbitrary<CallFaults>,
  options: Options = {},
): Proof => ({
  promise,
  fault,
  run: (policy) =>
    playManySeeds(faults, async (seed, drawn) => {
      const outcome = await runCallSimulation({ seed, policy, faults: drawn, ...options });
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
