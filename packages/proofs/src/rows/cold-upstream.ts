import type { ColdScenario } from '@zinniagrade/measure';
import { runColdScenario } from '@zinniagrade/measure';
import type { Proof, Verdict } from '../proof.js';

const seedCount = 12;

const baseline: ColdScenario = { nodes: 5, lostMessageShare: 0, turnsCold: false, owner: 'stays' };

const scenarios: readonly (readonly [string, ColdScenario])[] = [
  ['many-nodes', { ...baseline, nodes: 8 }],
  ['owner-killed', { ...baseline, owner: 'is-killed' }],
  ['lost-messages', { ...baseline, lostMessageShare: 0.3 }],
  ['warm-turned-cold', { ...baseline, turnsCold: true }],
  ['freeze+owner-change', { ...baseline, owner: 'freezes' }],
];

/**
 * Compares, at every dispatch to a cold engine, the work in flight from all nodes with what the
 * engine can sustain.
 */
const checkScenario = (scenario: ColdScenario, policy: 'naive' | 'current'): Verdict => {
  let highestRatio = 0;
  let dispatches = 0;
  for (let seed = 1; seed <= seedCount; seed += 1) {
    const { maxLoadRatio: loadRatio, dispatches: sent } = runColdScenario(
      scenario,
      seed,
      policy,
    ).coldDispatches;
    highestRatio = Math.max(highestRatio, loadRatio);
    dispatches += sent;
    if (loadRatio > 1) {
      const detail = `seed ${seed}: ${loadRatio} times what the engine can sustain`;
      return { held: false, detail };
    }
  }
  return dispatches === 0
    ? { held: false, detail: 'nothing was sent to the cold engine, so nothing is proved' }
    : {
        held: true,
        detail: `${seedCount} seeds, ${dispatches} dispatches, at most ${highestRatio} times`,
      };
};

/**
 * Checks on a virtual clock that an upstream in cold start gets no more work than it can sustain.
 */
export const proofs: readonly Proof[] = scenarios.map(([fault, scenario]) => ({
  promise: 'cold-upstream',
  fault,
  run: (policy) => Promise.resolve(checkScenario(scenario, policy)),
}));
