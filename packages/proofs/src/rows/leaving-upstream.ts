import type { Fleet } from '../processes/index.js';
import {
  TestCaller,
  hasAllTokensInOrder,
  runConcurrently,
  requestJson,
  withFleet,
} from '../processes/index.js';
import type { Policy, Proof } from '../proof.js';

/** A leaving upstream must get no new work after this time. */
const newWorkLimitMs = 3_000;
const observationMs = 3_600;
const requestIntervalMs = 40;
/**
 * Enough tokens to keep the other engine busy, so that the leaving one appears to be the least
 * loaded.
 */
const tokenCount = 30;
/** The platform's VM list lags by more than `newWorkLimitMs`. */
const vmListLagMs = 5_000;

interface EngineRun {
  readonly at: number;
}

interface Runs {
  readonly runs: readonly EngineRun[];
  readonly refusals: readonly EngineRun[];
}

const markLeaving = async ({ platform, engines }: Fleet, id: string): Promise<void> => {
  const vms = engines.map(({ name, ready }) => ({
    ...{ id: name, host: `127.0.0.1:${ready.port ?? 0}`, dataCentre: 'dc1' },
    state: name === id ? 'leaving' : 'live',
  }));
  await requestJson(platform.ready.port ?? 0, '/vms', { vms });
};

/** Keeps sending short generations while one of two engines leaves. */
const createLeavingProof = (
  fault: string,
  startLeaving: (fleet: Fleet, policy: Policy) => Promise<void>,
): Proof => ({
  promise: 'leaving-upstream',
  fault,
  run: (policy) =>
    withFleet(
      { policy, nodes: 2, engines: 2, platformSettings: { vmListLagMs } },
      async (fleet) => {
        const caller = TestCaller.create(policy, fleet.callerPorts);
        const leavingAt = Date.now();
        await startLeaving(fleet, policy);
        const answers: ReturnType<typeof caller.generate>[] = [];
        while (Date.now() < leavingAt + observationMs) {
          answers.push(caller.generate(`tokens=${tokenCount}`, { restart: true }));
          await new Promise((resolve) => setTimeout(resolve, requestIntervalMs));
        }
        const complete = (await Promise.all(answers)).filter(({ texts }) =>
          hasAllTokensInOrder(texts, tokenCount),
        );
        await caller.close();
        const { runs, refusals } = await requestJson<Runs>(
          fleet.engines[0]?.ready.port ?? 0,
          '/runs',
        );
        const sent = [...runs, ...refusals].map(({ at }) => at - leavingAt);
        const late = sent.filter((afterMs) => afterMs > newWorkLimitMs).length;
        const lastMs = Math.max(0, ...sent);
        return {
          held: late === 0 && complete.length === answers.length,
          detail: `last new work ${lastMs} ms after, ${late} requests late, ${complete.length} of ${answers.length} answers complete`,
        };
      },
    ),
});

export const proofs: readonly Proof[] = runConcurrently([
  // The operator marks the upstream as leaving; the VM list shows it only later.
  createLeavingProof('lagging-vm-list', async (fleet) => {
    const upstream = fleet.configuration.upstreams.e0;
    await markLeaving(fleet, 'e0');
    if (upstream !== undefined) {
      await fleet.commit('leave', [
        { kind: 'put-upstream', upstream: { ...upstream, state: 'leaving' } },
      ]);
    }
  }),
  // Only the engine's refusals show in time that it is leaving.
  createLeavingProof('reclaimed-at-short-notice', async (fleet) => {
    await markLeaving(fleet, 'e0');
    await requestJson(fleet.engines[0]?.ready.port ?? 0, '/faults', { kind: 'leave' });
  }),
]);
