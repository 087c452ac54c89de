import { Failure } from '@zinniagrade/errors';
import type { ClientAccountId, Incarnation, Milliseconds, NodeId } from '@zinniagrade/types';

/** Time for which a claim and the record of the call at its holder are kept. */
export const claimTtlMs = 24 * 3_600_000;
/** Limit on steps (create-only writes and reads) before the store counts as not answering. */
export const maxClaimSteps = 6;

/** The value of a claim in the store. It names the only process that may dispatch the call. */
export interface Claim {
  readonly node: NodeId;
  readonly processIncarnation: Incarnation;
  /** Wall clock reading of the claiming node. */
  readonly claimedAt: Milliseconds;
}

export const claimKeyOf = (clientAccount: ClientAccountId, key: string): string =>
  `claims/${encodeURIComponent(clientAccount)}/${encodeURIComponent(key)}`;

export type ClaimEvent =
  | { readonly kind: 'created' }
  /** The store key exists already, written by this or another node. */
  | { readonly kind: 'exists' }
  | { readonly kind: 'read'; readonly claim: Claim | undefined }
  /** The reply was lost; the write may or may not have taken effect. */
  | { readonly kind: 'write-unknown' }
  | { readonly kind: 'store-refused' }
  | { readonly kind: 'read-failed' };

export type ClaimAction =
  /** Write the claim if the store key does not exist. */
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

// The failure is `outcome-unknown`, not `not-run`: an earlier attempt with the key may have run at
// another node, which only the store knows.
const refuseWithoutStore = (state: ClaimState): ClaimStep => ({
  state,
  action: {
    kind: 'refuse',
    failure: Failure.create(
      'outcome-unknown',
      'the store does not answer, so the key could not be claimed; this attempt was not ' +
        'dispatched, but an earlier one may have been: retry with the same key',
      1_000,
    ),
  },
});

/**
 * Computes the next action for claiming a key. The claim is held only after a write or a read has
 * confirmed it in the store. A write whose reply was lost is verified by reading it back.
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
        ? refuseWithoutStore(state)
        : { state, action: { kind: 'create' } };
    }
    case 'exists':
    case 'write-unknown':
      return { state, action: { kind: 'read' } };
    case 'store-refused':
    case 'read-failed':
      return refuseWithoutStore(state);
  }
};
