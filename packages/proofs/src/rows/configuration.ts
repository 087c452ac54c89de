import {
  type ScenarioPart,
  cutLinks,
  killNodesDuringOutage,
  freezeNodes,
  withdrawDataCentre,
  commitAtRandomTimes,
  commitConcurrently,
  runScenario,
  loseReplies,
  interruptStore,
  keepVmListStale,
} from '../configuration/scenarios.js';
import type { Proof, PromiseName } from '../proof.js';

const durationMs = 20_000;

const createProof = (
  promise: PromiseName,
  fault: string,
  parts: readonly ScenarioPart[],
): Proof => ({
  promise,
  fault,
  run: (policy) => runScenario({ durationMs, parts }, policy),
});

/** Simulates eight nodes on a virtual clock while operators commit changes and faults are injected. */
export const proofs: readonly Proof[] = [
  createProof('configuration-in-force', 'lost-reply', [
    commitAtRandomTimes('x', 'y', 'z'),
    loseReplies,
  ]),
  createProof('configuration-in-force', 'operators-race', [commitConcurrently]),
  createProof('configuration-in-force', 'store-outage', [commitAtRandomTimes('x'), interruptStore]),
  createProof('configuration-in-force', 'link-cut', [commitAtRandomTimes('x'), cutLinks]),
  createProof('configuration-in-force', 'freeze', [commitAtRandomTimes('x'), freezeNodes]),
  createProof('configuration-in-force', 'process-kill+store-outage', [
    commitAtRandomTimes('x'),
    killNodesDuringOutage,
  ]),
  createProof('configuration-in-force', 'freeze+store-outage', [
    commitAtRandomTimes('x'),
    freezeNodes,
    interruptStore,
  ]),
  createProof('configuration-in-force', 'link-cut+lost-reply', [
    commitAtRandomTimes('x', 'y'),
    cutLinks,
    loseReplies,
  ]),
  createProof('data-centre-withdrawn', 'store-outage', [
    withdrawDataCentre(2000, 6000),
    interruptStore,
  ]),
  createProof('data-centre-withdrawn', 'link-cut', [withdrawDataCentre(1000, 6000), cutLinks]),
  createProof('data-centre-withdrawn', 'freeze', [withdrawDataCentre(1000, 6000), freezeNodes]),
  createProof('data-centre-withdrawn', 'lagging-vm-list', [
    withdrawDataCentre(1000, 6000),
    keepVmListStale,
  ]),
];
