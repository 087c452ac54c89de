import type { Policy, Proof, Verdict } from '../proof.js';

/**
 * Starts all of these proofs at once when the first of them is run, each with its own processes.
 * A proof spends most of its time waiting, so running them one by one would take too long.
 */
export const runConcurrently = (proofs: readonly Proof[]): readonly Proof[] => {
  const verdictsByPolicy = new Map<Policy, ReadonlyMap<Proof, Promise<Verdict>>>();
  const startAll = (policy: Policy): ReadonlyMap<Proof, Promise<Verdict>> => {
    const verdicts = new Map(
      proofs.map((proof) => {
        const verdict = proof.run(policy);
        // Prevents an unhandled rejection; the caller that awaits this verdict reports the error.
        verdict.catch(() => undefined);
        return [proof, verdict] as const;
      }),
    );
    verdictsByPolicy.set(policy, verdicts);
    return verdicts;
  };
  return proofs.map((proof) => ({
    ...proof,
    run: (policy) =>
      (verdictsByPolicy.get(policy) ?? startAll(policy)).get(proof) ??
      Promise.resolve({ held: false, detail: 'the proof was not started' }),
  }));
};
