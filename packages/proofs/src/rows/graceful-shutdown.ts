import {
  TestCaller,
  hasAllTokensInOrder,
  requestJson,
  waitUntil,
  withFleet,
} from '../processes/index.js';
import type { Policy, Proof, Verdict } from '../proof.js';

const streamCount = 3;
const callCount = 3;
const tokenCount = 80;
const workMs = 1_000;
/** A leaving node still accepts new work for this time. */
const leaveAcceptMs = 300;
const exitTimeoutMs = 6_000;

/** Sends SIGTERM to the only node while streams and calls are open. */
const drainNode = (policy: Policy): Promise<Verdict> =>
  withFleet(
    {
      ...{ policy, nodes: 1, engines: 1, services: 1, serviceSettings: { workMs } },
      nodeSettings: { leaveAcceptMs },
    },
    async ({ nodes, services, callerPorts }) => {
      const port = services[0]?.ready.port ?? 0;
      const countRuns = async (): Promise<number> =>
        (await requestJson<{ runs: readonly unknown[] }>(port, '/runs')).runs.length;
      const before = await countRuns();
      const caller = TestCaller.create(policy, callerPorts);
      let tokensSeen = 0;
      const onToken = (): void => {
        tokensSeen += 1;
      };
      const generating = Array.from({ length: streamCount }, () =>
        caller.generate(`tokens=${tokenCount}`, { onToken }),
      );
      const calling = Array.from({ length: callCount }, (_, index) =>
        caller.call('issue', `${index}`),
      );
      const haveAllStarted = async () =>
        tokensSeen >= streamCount && (await countRuns()) - before >= callCount;
      await waitUntil(haveAllStarted, exitTimeoutMs);
      nodes[0]?.terminate();
      const answers = await Promise.all(generating);
      const results = await Promise.all(calling);
      const code = await Promise.race([
        nodes[0]?.exited,
        new Promise<string>((resolve) => setTimeout(resolve, exitTimeoutMs, 'none')),
      ]);
      await caller.close();
      const whole = answers.filter(
        ({ texts, isComplete, resumes }) =>
          isComplete && resumes === 0 && hasAllTokensInOrder(texts, tokenCount),
      ).length;
      const answered = results.filter(({ echo }) => echo !== undefined).length;
      return {
        held: whole === streamCount && answered === callCount && code === 0,
        detail: `${whole} of ${streamCount} streams and ${answered} of ${callCount} calls, exit code ${code}`,
      };
    },
  );

export const proofs: readonly Proof[] = [
  { promise: 'graceful-shutdown', fault: 'drain-with-open-requests', run: drainNode },
];
