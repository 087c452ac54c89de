import type { Milliseconds, NodeId } from '@zinniagrade/types';
import { memberIndexOf, shortHash } from './member-index.js';
import type { MembershipState } from './membership-state.js';

/** How long a confirmation of the store's head counts as fresh. */
export const confirmationFreshMs: Milliseconds = 2000;
/**
 * How long a member counts as heard from. Reports of a member travel over up to 5 links with 500 ms
 * between heartbeats. With a longer time, a node that is cut off would go on working for more than
 * 3 s.
 */
export const heardFreshMs: Milliseconds = 2500;
/** Heartbeats carry the list of members heard from only if the confirmation is older than this. */
const heardListMinConfirmationAgeMs: Milliseconds = 1000;
/** A member that has been gone for this long no longer counts if the node hears from a majority. */
const dropGoneAfterMs: Milliseconds = 60_000;

const bytesPerMember = 3;
const ageUnitMs: Milliseconds = 20;
const maxAgeMs: Milliseconds = 255 * ageUnitMs;

export const isConfirmationFresh = (
  now: Milliseconds,
  confirmedAt: Milliseconds | undefined,
): boolean => confirmedAt !== undefined && now - confirmedAt <= confirmationFreshMs;

const countHeardQuorumMembers = (state: MembershipState, now: Milliseconds): number =>
  state.quorumMembers.filter(
    (id) =>
      id === state.self.nodeId || now - (state.regionHeardAt.get(id) ?? -Infinity) <= heardFreshMs,
  ).length;

/**
 * Whether the node must refuse new work: the store's head was last confirmed more than 2 s ago, and
 * the node hears from no more than half of the members of its region that it knew at that time.
 */
export const isIsolated = (
  state: MembershipState,
  now: Milliseconds,
  confirmedAt: Milliseconds | undefined,
): boolean =>
  !isConfirmationFresh(now, confirmedAt) &&
  2 * countHeardQuorumMembers(state, now) <= state.quorumMembers.length;

/** Members that leave voluntarily stop counting at once. */
const remainsQuorumMember = (state: MembershipState, id: NodeId, now: Milliseconds): boolean => {
  const known = state.members[id];
  return (
    known !== undefined &&
    known.member.status !== 'leaving' &&
    (known.member.status !== 'gone' || now - known.since < dropGoneAfterMs)
  );
};

const sameIds = (a: readonly NodeId[], b: readonly NodeId[]): boolean =>
  a === b || (a.length === b.length && a.every((id, index) => id === b[index]));

/**
 * While the confirmation is fresh, the quorum members follow the member table. Later they change
 * only while the node hears from more than half of them. Nodes can thus be replaced in a long
 * outage of the store without isolating the others, but a node that is cut off can't reduce the set
 * to itself.
 */
export const updateQuorumMembers = (
  state: MembershipState,
  now: Milliseconds,
  confirmedAt: Milliseconds | undefined,
): MembershipState => {
  const present = memberIndexOf(state).presentInRegion;
  let quorumMembers: readonly NodeId[];
  if (isConfirmationFresh(now, confirmedAt)) {
    quorumMembers = present;
  } else {
    const isCutOff = isIsolated(state, now, confirmedAt);
    const kept = isCutOff
      ? state.quorumMembers
      : state.quorumMembers.filter((id) => remainsQuorumMember(state, id, now));
    // A node that has never had a confirmation counts every member that it learns of.
    const joinsQuorumMembers = (id: NodeId): boolean =>
      confirmedAt === undefined ||
      (!isCutOff && now - (state.regionHeardAt.get(id) ?? -Infinity) <= heardFreshMs);
    const keptIds = new Set(kept);
    quorumMembers = [
      ...kept,
      ...present.filter((id) => !keptIds.has(id) && joinsQuorumMembers(id)),
    ];
  }
  return sameIds(quorumMembers, state.quorumMembers) ? state : { ...state, quorumMembers };
};

/** The list of members heard from, for a heartbeat; `undefined` while it is not needed. */
export const encodeHeardList = (
  state: MembershipState,
  now: Milliseconds,
  confirmedAt: Milliseconds | undefined,
): Uint8Array | undefined => {
  if (confirmedAt !== undefined && now - confirmedAt <= heardListMinConfirmationAgeMs) {
    return undefined;
  }
  const entries: [NodeId, Milliseconds][] = [[state.self.nodeId, 0]];
  for (const [id, at] of state.regionHeardAt) {
    if (now - at <= Math.min(heardFreshMs, maxAgeMs)) {
      entries.push([id, now - at]);
    }
  }
  const list = Buffer.alloc(entries.length * bytesPerMember);
  for (const [index, [id, age]] of entries.entries()) {
    list.writeUInt16BE(shortHash(id), index * bytesPerMember);
    list.writeUInt8(Math.ceil(age / ageUnitMs), index * bytesPerMember + 2);
  }
  return list;
};

/** Records that a member of the region was heard from and merges its list, sent `transitMs` ago. */
export const mergeHeardList = (
  state: MembershipState,
  from: NodeId,
  list: Uint8Array | undefined,
  now: Milliseconds,
  transitMs: Milliseconds,
): MembershipState => {
  const heard = new Map(state.regionHeardAt);
  const recordHeard = (id: NodeId, at: Milliseconds): void => {
    if (at > (heard.get(id) ?? -Infinity)) {
      heard.set(id, at);
    }
  };
  recordHeard(from, now - transitMs);
  if (list !== undefined) {
    const { byShortHash } = memberIndexOf(state);
    for (let offset = 0; offset + bytesPerMember <= list.length; offset += bytesPerMember) {
      const hash = ((list[offset] ?? 0) << 8) | (list[offset + 1] ?? 0);
      const at = now - transitMs - (list[offset + 2] ?? 0) * ageUnitMs;
      for (const id of byShortHash.get(hash) ?? []) {
        recordHeard(id, at);
      }
    }
  }
  return { ...state, regionHeardAt: heard };
};
