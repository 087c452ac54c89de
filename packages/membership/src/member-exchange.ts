import type { Member, MemberUpdate, Milliseconds, NodeId } from '@zinniagrade/types';
import { type MembershipState, allMembers, bucketOf, compareMembers } from './membership-state.js';
import {
  type MembershipAction,
  type MembershipStep,
  applyAndFlood,
  sendMembers,
  memberUpdate,
} from './membership-step.js';

/** Asks a node for its members in the buckets whose hashes differ. */
export const requestDifferences = (state: MembershipState, to: NodeId): MembershipAction => ({
  kind: 'send',
  to,
  message: { ...memberUpdate([state.self]), exchange: true, buckets: state.buckets },
});

/** Refutes a false status of this node by raising its incarnation. */
export const refute = (
  state: MembershipState,
  members: readonly Member[],
  now: Milliseconds,
): MembershipStep => {
  const { self } = state;
  const newerSelf = members.find(
    (member) => member.nodeId === self.nodeId && compareMembers(member, self) > 0,
  );
  return newerSelf === undefined
    ? { state, actions: [] }
    : applyAndFlood(state, [{ ...self, incarnation: newerSelf.incarnation + 1 }], now);
};

export const answerExchange = (
  state: MembershipState,
  from: NodeId,
  { exchange, buckets }: MemberUpdate,
): readonly MembershipAction[] => {
  if (buckets === undefined) {
    return exchange === true
      ? sendMembers(
          from,
          allMembers(state).filter(({ status }) => status !== 'gone'),
        )
      : [];
  }
  const differing = new Set(
    state.buckets.flatMap((hash, index) => (hash === buckets[index] ? [] : [index])),
  );
  const members = allMembers(state).filter(({ nodeId }) => differing.has(bucketOf(nodeId)));
  const answers = sendMembers(from, members);
  return exchange === true && differing.size > 0
    ? [
        ...answers,
        { kind: 'send', to: from, message: { ...memberUpdate([]), buckets: state.buckets } },
      ]
    : answers;
};
