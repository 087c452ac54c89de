import type { Heartbeat, Member, MemberUpdate, Milliseconds, NodeId } from '@zinniagrade/types';
import { type MembershipState, putMembers } from './membership-state.js';

/** About 190 KB, below the frame limit, so that a joining node gets the table in one message. */
const maxMembersPerMessage = 1000;

export type MembershipEvent =
  | {
      readonly kind: 'tick';
      /** Last confirmation of the store's head, on the node's monotonic clock. */
      readonly confirmedAt: Milliseconds | undefined;
    }
  | {
      readonly kind: 'heartbeat';
      readonly from: NodeId;
      readonly message: Heartbeat;
      /** Time that the message was in transit. */
      readonly transitMs: Milliseconds;
    }
  | { readonly kind: 'update'; readonly from: NodeId; readonly message: MemberUpdate }
  | { readonly kind: 'link-up'; readonly from: NodeId }
  | { readonly kind: 'leave' };

export type MembershipAction =
  | { readonly kind: 'send'; readonly to: NodeId; readonly message: MemberUpdate }
  | {
      readonly kind: 'heartbeat';
      readonly to: readonly NodeId[];
      readonly heard: Uint8Array | undefined;
      readonly membersHash: string;
    }
  /** Tries to connect to a member that is gone. */
  | { readonly kind: 'probe'; readonly member: Member }
  | { readonly kind: 'changed'; readonly member: Member; readonly before: Member | undefined }
  /** The process was frozen, so limits, grants and confirmations have expired. */
  | { readonly kind: 'frozen'; readonly gapMs: Milliseconds };

export interface MembershipStep {
  readonly state: MembershipState;
  readonly actions: readonly MembershipAction[];
}

export const memberUpdate = (members: readonly Member[]): MemberUpdate => ({
  kind: 'member-update',
  members,
});

const splitIntoChunks = (members: readonly Member[]): readonly (readonly Member[])[] => {
  const chunks: (readonly Member[])[] = [];
  for (let start = 0; start < members.length; start += maxMembersPerMessage) {
    chunks.push(members.slice(start, start + maxMembersPerMessage));
  }
  return chunks;
};

export const sendMembers = (to: NodeId, members: readonly Member[]): readonly MembershipAction[] =>
  splitIntoChunks(members).map((chunk) => ({ kind: 'send', to, message: memberUpdate(chunk) }));

/** Sends the members to all neighbours but the one that they came from. */
const flood = (
  state: MembershipState,
  members: readonly Member[],
  except?: NodeId,
): readonly MembershipAction[] =>
  state.neighbours.filter((id) => id !== except).flatMap((id) => sendMembers(id, members));

/** Puts members into the table and reports each change. */
export const applyMembers = (
  state: MembershipState,
  members: readonly Member[],
  now: Milliseconds,
  suspectedLocally = false,
): MembershipStep => ({
  state: putMembers(state, members, now, suspectedLocally),
  actions: members.map((member) => ({
    kind: 'changed',
    member,
    before: state.members[member.nodeId]?.member,
  })),
});

/** Applies members and floods them, including to neighbours that the change removes or adds. */
export const applyAndFlood = (
  state: MembershipState,
  members: readonly Member[],
  now: Milliseconds,
  options: { readonly except?: NodeId; readonly suspectedLocally?: boolean } = {},
): MembershipStep => {
  if (members.length === 0) {
    return { state, actions: [] };
  }
  const changed = applyMembers(state, members, now, options.suspectedLocally ?? false);
  const neighbours = [...new Set([...state.neighbours, ...changed.state.neighbours])];
  return {
    state: changed.state,
    actions: [
      ...changed.actions,
      ...flood({ ...changed.state, neighbours }, members, options.except),
    ],
  };
};

export const chain = (
  step: MembershipStep,
  next: (state: MembershipState) => MembershipStep,
): MembershipStep => {
  const { state, actions } = next(step.state);
  return { state, actions: actions.length === 0 ? step.actions : [...step.actions, ...actions] };
};
