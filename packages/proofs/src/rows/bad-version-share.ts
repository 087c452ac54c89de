import { Random } from '@zinniagrade/clock';
import {
  badVersionKinds,
  type Deployment,
  deployments,
  type MoveFaults,
  type MoveRecord,
  MoveScenario,
  runMove,
  type VersionKind,
} from '@zinniagrade/measure';
import type { Proof, Verdict } from '../proof.js';

const maxShare = 0.05;
const stopLimitMs = 3000;
const seedsForOneKind = 12;
const seedsForAllKinds = 5;

const findViolation = (record: MoveRecord): string | undefined => {
  if (record.largestShareBeforeDetectable > maxShare) {
    return `${(record.largestShareBeforeDetectable * 100).toFixed(1)}% of the requests`;
  }
  if (record.lastRequestAfterDetectableMs > stopLimitMs) {
    return `requests for ${record.lastRequestAfterDetectableMs} ms after it showed itself`;
  }
  return record.outcome === 'done' ? 'the move was done' : undefined;
};

interface MoveCase {
  readonly kind: VersionKind;
  readonly deployment: Deployment;
  readonly seed: number;
}

const { maps, returns } = deployments;

const createCases = (kinds: readonly VersionKind[], seeds: number): readonly MoveCase[] =>
  kinds.flatMap((kind) =>
    Array.from({ length: seeds }, (_, index) => ({
      kind,
      deployment: index % 2 === 0 ? maps : returns,
      seed: index + 1,
    })),
  );

/** Regression cases: seeds that have failed before, all with versions that are bad only under load. */
const createUnderLoadCases = (
  deployment: Deployment,
  ...seeds: readonly number[]
): readonly MoveCase[] => seeds.map((seed) => ({ kind: 'bad-under-load', deployment, seed }));

/** Simulates moves to bad versions and stops at the first that breaks the promise. */
const checkCases = (
  cases: readonly MoveCase[],
  policy: 'naive' | 'current',
  faults: MoveFaults,
): Verdict => {
  for (const { deployment, kind, seed } of cases) {
    const scenario = MoveScenario.create(kind, policy, deployment, faults, Random.create(seed));
    const violation = findViolation(runMove(scenario, seed));
    if (violation !== undefined) {
      return { held: false, detail: `${kind} seed ${seed}: ${violation}` };
    }
  }
  return { held: true, detail: `${cases.length} moves` };
};

const createProof = (fault: string, cases: readonly MoveCase[], faults: MoveFaults): Proof => ({
  promise: 'bad-version-share',
  fault,
  run: (policy) => Promise.resolve(checkCases(cases, policy, faults)),
});

/** Checks on a virtual clock the share of the traffic that a bad version gets. */
export const proofs: readonly Proof[] = [
  createProof('bad-at-once', createCases(['bad-at-once'], seedsForOneKind), {}),
  createProof('bad-later', createCases(['bad-later'], seedsForOneKind), {}),
  createProof(
    'bad-under-load',
    [
      ...createCases(['bad-under-load'], seedsForOneKind),
      ...createUnderLoadCases(returns, 20, 777_024),
      ...createUnderLoadCases(maps, 50_024, 4_000_000),
    ],
    {},
  ),
  createProof('bad-on-one-route', createCases(['bad-on-one-route'], seedsForOneKind), {}),
  createProof(
    'coordinator-killed',
    [
      ...createCases(badVersionKinds, seedsForAllKinds),
      ...createUnderLoadCases(returns, 777_030, 777_046),
    ],
    { coordinatorKilled: true },
  ),
  createProof('store-outage', createCases(badVersionKinds, seedsForAllKinds), {
    storeOutage: true,
  }),
  createProof(
    'link-cut+coordinator-killed',
    [
      ...createCases(badVersionKinds, seedsForAllKinds),
      ...createUnderLoadCases(returns, 777_026, 777_032),
    ],
    { linkCut: true, coordinatorKilled: true },
  ),
];
