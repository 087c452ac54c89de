import type { ErrorKind } from '@zinniagrade/types';

export const exitCodes = {
  done: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  revisionConflict: 4,
} as const;

const unreachableKinds: readonly ErrorKind[] = [
  'upstream-unreachable',
  'store-unavailable',
  'outcome-unknown',
];

/** The exit code for a failed call. */
export const exitCodeForKind = (kind: ErrorKind): number => {
  if (kind === 'revision-conflict') {
    return exitCodes.revisionConflict;
  }
  return unreachableKinds.includes(kind) ? exitCodes.unreachable : exitCodes.refused;
};
