import type { ColdScenario } from '@zinniagrade/measure';
import { runColdScenario } from '@zinniagrade/measure';
import type { Proof, Verdict } from '../proof.js';

const seeds = 12;

const steady: ColdScenario = { nodes: 5, lostMessageShare: 0, turnsCold: false, owner: 'stays' };

const scenarios: readonly (readonly [string, ColdScenario])[] = [
  ['many-nodes', { ...steady, nodes: 8 }],
  ['owner-killed', { ...steady, owner: 'is-killed' }],
  ['lost-messages', { ...steady, lostMessageShare: 0.3 }],
  ['warm-turned-cold', { ...steady, turnsCold: true }],
  ['freeze+owner-change', { ...steady, owner: 'freezes' }],
];

/** Looks at every dispatch to a cold engine: the work in flight over all nodes, against what it bears. */
const check = (scenario: ColdScenario, policy: 'naive' | 'current'): Verdict => {
  let most = 0;
  let dispatches = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const { maxLoadRatio: mostOverBears, dispatches: sent } = runColdScenario(
      scenario,
      seed,
      policy,
    ).coldDispatches;
    most = Math.max(most, mostOverBears);
    dispatches += sent;
    if (mostOverBears > 1) {
      const detail = `seed ${seed}: ${mostOverBears} times what the engine bears`;
      return { held: false, detail };
    }
  }
  return dispatches === 0
    ? { held: false, detail: 'nothing was sent to the cold engine, so nothing is proved' }
    : { held: true, detail: `${seeds} seeds, ${dispatches} dispatches, at most ${most} times` };
};

/** An upstream in cold start gets no more work than it can bear, on a virtual clock. */
export const proofs: readonly Proof[] = scenarios.map(([fault, scenario]) => ({
  promise: 'cold-upstream',
  fault,
  run: (policy) => Promise.resolve(check(scenario, policy)),
}));
