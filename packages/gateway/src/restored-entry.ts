import type { ClusterChange } from './cluster-state.js';

/**
 * What to do with an entry that a restored store has in another state than this node knows: apply
 * it, hold it until its owner had time to write it again, or keep the known state and write it back.
 */
export type RestoredEntryDecision = 'apply' | 'hold' | 'keep';

const isPresent = (change: ClusterChange): boolean => {
  switch (change.kind) {
    case 'withdrawal':
      return change.withdrawn;
    case 'rollout':
      return change.rollout !== undefined;
    case 'node':
      return change.entry !== undefined;
    case 'rollout-status':
      return change.status !== undefined;
    case 'quarantine':
      return change.isQuarantined;
    default:
      return true;
  }
};

/**
 * Decides on an entry of a store that was restored from an older copy. What operators, upstreams and
 * nodes have written since then is missing, and written again soon; what they have removed is back.
 */
export const decideRestoredEntry = (
  known: ClusterChange,
  restored: ClusterChange,
): RestoredEntryDecision => {
  if (known.kind === 'link-secret') {
    return 'keep';
  }
  if (known.kind === 'duty-holder') {
    // The lease of a holder from before the restore has ended.
    return 'apply';
  }
  if (known.kind === 'usage-report' && restored.kind === 'usage-report') {
    const isOlder = (restored.report?.window ?? -1) < (known.report?.window ?? -1);
    return isOlder ? 'keep' : 'apply';
  }
  if (known.kind === 'upstream' && restored.kind === 'upstream') {
    const state = restored.upstream?.state;
    return state === 'draining' || state === known.upstream?.state ? 'apply' : 'hold';
  }
  if (known.kind === 'rollout-status' || known.kind === 'quarantine') {
    return isPresent(known) ? 'keep' : 'hold';
  }
  return isPresent(known) === isPresent(restored) ? 'apply' : 'hold';
};
