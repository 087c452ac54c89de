import fc from 'fast-check';
import { createCallProof } from '../data-path/call-proof.js';
import { TestCaller, requestJson, waitUntil, withFleet } from '../processes/index.js';
import type { Policy, Proof, Verdict } from '../proof.js';

const share = (min: number, max: number): fc.Arbitrary<number> =>
  fc.double({ min, max, noNaN: true });

/** The caller makes a single attempt, so that each answer must be true on its own. */
const singleAttempt = { callerAttempts: 1 };

const workMs = 500;

interface Runs {
  readonly runs: readonly unknown[];
}

/**
 * Kills the only node while a call runs, so that no process is left that knows the outcome of the
 * call.
 */
const killNodeDuringCall = (policy: Policy): Promise<Verdict> =>
  withFleet({ policy, nodes: 1, services: 1, serviceSettings: { workMs } }, async (fleet) => {
    const port = fleet.services[0]?.ready.port ?? 0;
    const countRuns = async (): Promise<number> =>
      (await requestJson<Runs>(port, '/runs')).runs.length;
    const before = await countRuns();
    const caller = TestCaller.create(policy, fleet.callerPorts);
    const answering = caller.call('issue', '1');
    await waitUntil(async () => (await countRuns()) > before, 2_000);
    await fleet.nodes[0]?.kill();
    const { executionStatus = 'answered' } = await answering;
    await caller.close();
    const runs = (await countRuns()) - before;
    return {
      held: runs === 1 && executionStatus === 'unknown',
      detail: `${runs} run, the caller heard ${executionStatus}`,
    };
  });

export const proofs: readonly Proof[] = [
  createCallProof(
    'not-run-is-true',
    'reset-after-send',
    fc.record({ lostReplyShare: share(0.3, 0.5), resetShare: share(0.3, 0.5) }),
    singleAttempt,
  ),
  createCallProof(
    'not-run-is-true',
    'timeout',
    fc.record({ lateRunShare: share(0.4, 0.8) }),
    singleAttempt,
  ),
  // A refusal or a failed connection follows an attempt that ran but whose answer was lost.
  createCallProof(
    'not-run-is-true',
    'lost-reply+refusal',
    fc.record({ lostReplyShare: share(0.3, 0.5), refusedShare: share(0.4, 0.7) }),
    singleAttempt,
  ),
  createCallProof(
    'not-run-is-true',
    'lost-reply+never-connected',
    fc.record({ lostReplyShare: share(0.3, 0.5), unreachableShare: share(0.4, 0.7) }),
    singleAttempt,
  ),
  { promise: 'not-run-is-true', fault: 'process-kill', run: killNodeDuringCall },
];
