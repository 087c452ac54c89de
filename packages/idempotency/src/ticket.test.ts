import { expect } from 'chai';
import type { ClaimEvent } from './claim.js';
import { ClaimState, maxClaimSteps, stepClaim } from './claim.js';
import { readIdempotencyKey, signTicket } from './ticket.js';

const ticket = {
  clientAccount: 'a',
  node: 'n',
  processIncarnation: 5,
  expiresAt: 1_000,
  nonce: 'x',
};
const kindOf = (key: string, account = 'a'): string =>
  readIdempotencyKey('secret', account, key).caseOf({
    Left: ({ kind }) => kind,
    Right: ({ kind }) => kind,
  });

describe('ticket', () => {
  it('names the process that may dispatch its call', () => {
    const read = readIdempotencyKey('secret', 'a', signTicket('secret', ticket));
    expect(read.unsafeCoerce()).to.deep.include({ kind: 'ticket', ticket });
  });

  it('is refused if forged or issued to another account, and never treated as a chosen key', () => {
    expect(kindOf(signTicket('another', ticket))).to.equal('invalid-request');
    expect(kindOf(signTicket('secret', ticket), 'b')).to.equal('invalid-request');
    expect(kindOf('zt1.')).to.equal('invalid-request');
    expect(kindOf('order-17')).to.equal('chosen');
    expect(kindOf('a key with spaces')).to.equal('invalid-request');
  });
});

describe('claim of a chosen key', () => {
  const own = { node: 'n', processIncarnation: 5, claimedAt: 0 };
  const lastActionAfter = (...events: readonly ClaimEvent[]): string => {
    let state = ClaimState.create(own);
    let lastAction = '';
    for (const event of events) {
      const step = stepClaim(state, event);
      state = step.state;
      lastAction = step.action.kind;
    }
    return lastAction;
  };

  it('is held only after the store has confirmed it', () => {
    expect(lastActionAfter({ kind: 'created' })).to.equal('held');
    expect(lastActionAfter({ kind: 'write-unknown' })).to.equal('read');
    expect(lastActionAfter({ kind: 'write-unknown' }, { kind: 'read', claim: own })).to.equal(
      'held',
    );
    expect(lastActionAfter({ kind: 'write-unknown' }, { kind: 'read', claim: undefined })).to.equal(
      'create',
    );
  });

  it('forwards the call to another holder, even to an earlier process of the same node', () => {
    const earlier = { ...own, processIncarnation: 4 };
    expect(lastActionAfter({ kind: 'exists' }, { kind: 'read', claim: earlier })).to.equal(
      'forward',
    );
  });

  it('is refused if the store does not answer or after too many attempts', () => {
    expect(lastActionAfter({ kind: 'store-refused' })).to.equal('refuse');
    expect(lastActionAfter({ kind: 'write-unknown' }, { kind: 'read-failed' })).to.equal('refuse');
    const round: ClaimEvent[] = [{ kind: 'write-unknown' }, { kind: 'read', claim: undefined }];
    const rounds = Array.from({ length: maxClaimSteps / 2 }, () => round).flat();
    expect(lastActionAfter(...rounds)).to.equal('refuse');
  });
});
