import type { Member, MemberStatus, Milliseconds, NodeId } from '@zinniagrade/types';
import { hash32 } from './hash.js';
import { memberIndexOf } from './member-index.js';
import { neighboursOf } from './overlay.js';

/** A member as known to this node. Times are on the node's monotonic clock. */
export interface KnownMember {
  readonly member: Member;
  /** When the node learned of the member's present record. */
  readonly since: Milliseconds;
  /** True if this node raised the suspicion itself. */
  readonly suspectedLocally: boolean;
}

/** Backoff before this node suspects a member again that may have refuted its suspicion. */
export interface Backoff {
  readonly until: Milliseconds;
  readonly durationMs: Milliseconds;
}

/** Everything that one node knows about the members, as immutable plain data. */
export interface MembershipState {
  readonly self: Member;
  /** Every known member, including this node; members that are gone are kept for a while. */
  readonly members: Readonly<Record<NodeId, KnownMember>>;
  readonly neighbours: readonly NodeId[];
  /** Hash of each bucket of members that are not gone, and the hash over all buckets. */
  readonly buckets: readonly number[];
  readonly membersHash: string;
  /** When the last heartbeat of each sender was sent; at first, when it became a neighbour. */
  readonly lastHeartbeatAt: Readonly<Record<NodeId, Milliseconds>>;
  /** When each member of the region was last heard from, directly or through other members. */
  readonly regionHeardAt: ReadonlyMap<NodeId, Milliseconds>;
  /** Members of the region of which a majority must be heard from; see `isIsolated`. */
  readonly quorumMembers: readonly NodeId[];
  readonly backoffs: Readonly<Record<NodeId, Backoff>>;
  /** Consecutive heartbeats with a member hash that differs from this node's, by sender. */
  readonly hashMismatches: Readonly<Record<NodeId, number>>;
  /** False until the first update that names another member. */
  readonly joined: boolean;
  readonly lastEventAt: Milliseconds;
  readonly nextHeartbeatAt: Milliseconds;
  readonly nextProbeAt: Milliseconds;
  readonly nextExchangeAt: Milliseconds;
}

export const bucketCount = 64;
export const heartbeatIntervalMs: Milliseconds = 500;

const statusRanks: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  gone: 3,
};

/** Positive when `a` replaces `b`: ordered by incarnation, then by status. */
export const compareMembers = (a: Member, b: Member): number =>
  a.incarnation - b.incarnation || statusRanks[a.status] - statusRanks[b.status];

export const bucketOf = (nodeId: NodeId): number => hash32(nodeId) % bucketCount;

/**
 * What a member adds to the hash of its bucket. Suspicion is left out because it is short-lived,
 * and members that are gone because nodes drop them from their tables at different times.
 */
const memberDigest = ({ nodeId, incarnation, status }: Member): number =>
  status === 'gone'
    ? 0
    : hash32(`${nodeId}|${incarnation}|${status === 'suspect' ? 'alive' : status}`);

/** FNV-1a over the buckets, in units of 16 bits. */
export const hashBuckets = (buckets: readonly number[]): string => {
  let hash = 0x811c9dc5;
  for (const bucket of buckets) {
    hash = Math.imul(hash ^ (bucket & 0xff_ff), 0x01000193);
    hash = Math.imul(hash ^ (bucket >>> 16), 0x01000193);
  }
  return (hash >>> 0).toString(16);
};

const omitKey = <T>(
  record: Readonly<Record<string, T>>,
  id: string,
): Readonly<Record<string, T>> => {
  if (!Object.hasOwn(record, id)) {
    return record;
  }
  return Object.fromEntries(Object.entries(record).filter(([key]) => key !== id));
};

export const allMembers = (state: MembershipState): readonly Member[] => memberIndexOf(state).all;

/** Inserts or replaces members without comparing them, and updates the neighbours if necessary. */
export const putMembers = (
  state: MembershipState,
  members: readonly Member[],
  now: Milliseconds,
  suspectedLocally = false,
): MembershipState => {
  if (members.length === 0) {
    return state;
  }
  const table: Record<NodeId, KnownMember> = { ...state.members };
  const buckets = [...state.buckets];
  let self = state.self;
  let mayChangeNeighbours = false;
  for (const member of members) {
    const before = table[member.nodeId]?.member;
    const bucket = bucketOf(member.nodeId);
    buckets[bucket] =
      ((buckets[bucket] ?? 0) ^
        (before === undefined ? 0 : memberDigest(before)) ^
        memberDigest(member)) >>>
      0;
    table[member.nodeId] = {
      member,
      since: now,
      suspectedLocally: suspectedLocally && member.status === 'suspect',
    };
    mayChangeNeighbours ||= (before?.status ?? 'gone') === 'gone' || member.status === 'gone';
    if (member.nodeId === self.nodeId) {
      self = member;
    }
  }
  const next = { ...state, self, members: table, buckets, membersHash: hashBuckets(buckets) };
  return mayChangeNeighbours ? recomputeNeighbours(next, now) : next;
};

const recomputeNeighbours = (state: MembershipState, now: Milliseconds): MembershipState => {
  const neighbours = neighboursOf(state.self, allMembers(state));
  const lastHeartbeatAt: Record<NodeId, Milliseconds> = {};
  for (const id of neighbours) {
    // A new neighbour gets the full suspicion timeout to connect and send a heartbeat.
    lastHeartbeatAt[id] = state.lastHeartbeatAt[id] ?? now;
  }
  return { ...state, neighbours, lastHeartbeatAt };
};

export const removeMember = (state: MembershipState, id: NodeId): MembershipState => ({
  ...state,
  members: omitKey(state.members, id),
  regionHeardAt: new Map([...state.regionHeardAt].filter(([key]) => key !== id)),
  backoffs: omitKey(state.backoffs, id),
  hashMismatches: omitKey(state.hashMismatches, id),
});

export const MembershipState = {
  /** State of a node that knows only itself. */
  create: (self: Member, now: Milliseconds): MembershipState =>
    putMembers(
      {
        self,
        members: {},
        neighbours: [],
        buckets: Array.from({ length: bucketCount }, () => 0),
        membersHash: '',
        lastHeartbeatAt: {},
        regionHeardAt: new Map(),
        quorumMembers: [self.nodeId],
        backoffs: {},
        hashMismatches: {},
        joined: false,
        lastEventAt: now,
        // Nodes that start together must not send heartbeats in phase.
        nextHeartbeatAt: now + (hash32(`phase|${self.nodeId}`) % heartbeatIntervalMs),
        nextProbeAt: now,
        nextExchangeAt: now,
      },
      [self],
      now,
    ),
};
