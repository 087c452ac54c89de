import type { Claim, ClaimAction, ClaimEvent } from '@zinniagrade/idempotency';
import { ClaimState, stepClaim } from '@zinniagrade/idempotency';

/** Store operations for claims of idempotency keys. A lost reply gives `unknown`, never success. */
export interface ClaimStore {
  readonly create: (
    key: string,
    claim: Claim,
  ) => Promise<'created' | 'exists' | 'unknown' | 'unavailable'>;
  /** `unavailable` if the store does not answer; `undefined` if the key does not exist. */
  readonly read: (key: string) => Promise<Claim | undefined | 'unavailable'>;
}

/** For a node without a store: keys chosen by callers are refused. */
export const unavailableClaimStore: ClaimStore = {
  create: () => Promise.resolve('unavailable'),
  read: () => Promise.resolve('unavailable'),
};

export type ClaimResult = Extract<ClaimAction, { kind: 'held' | 'forward' | 'refuse' }>;

const createdEvent = (result: Awaited<ReturnType<ClaimStore['create']>>): ClaimEvent => {
  switch (result) {
    case 'created':
      return { kind: 'created' };
    case 'exists':
      return { kind: 'exists' };
    case 'unknown':
      return { kind: 'write-unknown' };
    case 'unavailable':
      return { kind: 'store-refused' };
  }
};

/** Claims an idempotency key for this process, or finds the process that holds it. */
export const claimKey = async (
  store: ClaimStore,
  storeKey: string,
  ownClaim: Claim,
): Promise<ClaimResult> => {
  let state = ClaimState.create(ownClaim);
  let action: ClaimAction = { kind: 'create' };
  for (;;) {
    let event: ClaimEvent;
    if (action.kind === 'create') {
      event = createdEvent(await store.create(storeKey, ownClaim));
    } else if (action.kind === 'read') {
      const claim = await store.read(storeKey);
      event = claim === 'unavailable' ? { kind: 'read-failed' } : { kind: 'read', claim };
    } else {
      return action;
    }
    ({ state, action } = stepClaim(state, event));
  }
};
