import { Failure } from '@zinniagrade/errors';
import type { ClientAccountId, Incarnation, Milliseconds, NodeId } from '@zinniagrade/types';

/** Time for which a claim, and the record of its holder, is kept. */
export const claimTtlMs = 24 * 3_600_000;
/** Create-only writes and reads before the store counts as not answering. */
export const maxClaimSteps = 6;

/** The value of a claim in the store: the one process that may dispatch the call. */
export interface Claim {
  readonly node: NodeId;
  readonly processIncarnation: Incarnation;
  /** Wall clock of the claiming node. */
  readonly claimedAt: Milliseconds;
}

export const claimKeyOf = (clientAccount: ClientAccountId, key: string): string =>
  `claims/${encodeURIComponent(clientAccount)}/${encodeURIComponent(key)}`;

export type ClaimEvent =
  | { readonly kind: 'created' }
  /** The key exists, under this or another node's name. */
  | { readonly kind: 'exists' }
  | { readonly kind: 'read'; readonly claim: Claim | undefined }
  /** The write may or may not have taken effect. */
  | { readonly kind: 'write-unknown' }
  | { readonly kind: 'store-refused' }
  | { readonly kind: 'read-failed' };

export type ClaimAction =
  /** Write the claim on the condition that the key does not exist. */
  | { readonly kind: 'create' }
  | { readonly kind: 'read' }
  | { readonly kind: 'held'; readonly claim: Claim }
  | { readonly kind: 'forward'; readonly claim: Claim }
  | { readonly kind: 'refuse'; readonly failure: Failure };

export interface ClaimState {
  readonly ownClaim: Claim;
  readonly steps: number;
}

export interface ClaimStep {
  readonly state: ClaimState;
  readonly action: ClaimAction;
}

export const ClaimState = {
  create: (own: Claim): ClaimState => ({ ownClaim: own, steps: 0 }),
};

export const namesSameProcess = (a: Claim, b: Claim): boolean =>
  a.node === b.node && a.processIncarnation === b.processIncarnation;

// An earlier attempt with the key may have run at another node, and only the store could tell, so that
// "not run" might not be true of the key.
const unavailable = (state: ClaimState): ClaimStep => ({
  state,
  action: {
    kind: 'refuse',
    failure: Failure.create(
      'outcome-unknown',
      'the store does not answer, so that the key could not be claimed; this attempt was not ' +
        'dispatched, an earlier one may have been: repeat it with the same key',
      1_000,
    ),
  },
});

/**
 * One step of claiming a key. The claim is held only after the store has confirmed it by the write
 * or by a read; a write whose reply was lost is read back, never assumed.
 */
export const stepClaim = (previous: ClaimState, event: ClaimEvent): ClaimStep => {
  const state = { ...previous, steps: previous.steps + 1 };
  switch (event.kind) {
    case 'created':
      return { state, action: { kind: 'held', claim: state.ownClaim } };
    case 'read': {
      const { claim } = event;
      if (claim !== undefined) {
        return namesSameProcess(claim, state.ownClaim)
          ? { state, action: { kind: 'held', claim } }
          : { state, action: { kind: 'forward', claim } };
      }
      return state.steps >= maxClaimSteps
        ? unavailable(state)
        : { state, action: { kind: 'create' } };
    }
    case 'exists':
    case 'write-unknown':
      return { state, action: { kind: 'read' } };
    case 'store-refused':
    case 'read-failed':
      return unavailable(state);
  }
};
