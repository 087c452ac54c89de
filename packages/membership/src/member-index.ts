import type { Member, NodeId } from '@zinniagrade/types';
import { hash32 } from './hash.js';
import type { KnownMember, MembershipState } from './membership-state.js';

/** Lookups that are derived from a member table. */
export interface MemberIndex {
  readonly all: readonly Member[];
  readonly suspects: readonly KnownMember[];
  readonly gone: readonly KnownMember[];
  /** Alive and suspect members of the node's region. */
  readonly presentInRegion: readonly NodeId[];
  /** Members of the region by 16 bits of their hash; members with the same bits are all listed. */
  readonly byShortHash: ReadonlyMap<number, readonly NodeId[]>;
}

/** Member tables are immutable, so an index stays valid for the life of its table. */
const indexes = new WeakMap<object, MemberIndex>();

export const shortHash = (id: NodeId): number => hash32(id) & 0xff_ff;

const createIndex = ({ members, self }: MembershipState): MemberIndex => {
  const known = Object.values(members);
  const all = known.map(({ member }) => member);
  const presentInRegion: NodeId[] = [];
  const byShortHash = new Map<number, readonly NodeId[]>();
  for (const { nodeId, region, status } of all) {
    if (region !== self.region) {
      continue;
    }
    const hash = shortHash(nodeId);
    byShortHash.set(hash, [...(byShortHash.get(hash) ?? []), nodeId]);
    if (status === 'alive' || status === 'suspect') {
      presentInRegion.push(nodeId);
    }
  }
  return {
    all,
    suspects: known.filter(({ member }) => member.status === 'suspect'),
    gone: known.filter(({ member }) => member.status === 'gone'),
    presentInRegion,
    byShortHash,
  };
};

export const memberIndexOf = (state: MembershipState): MemberIndex => {
  const known = indexes.get(state.members);
  if (known !== undefined) {
    return known;
  }
  const index = createIndex(state);
  indexes.set(state.members, index);
  return index;
};
