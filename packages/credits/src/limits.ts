import type { Milliseconds, NodeId, OtherNodesUsage, UpstreamLimit } from '@zinniagrade/types';
import { fallbackMs, limitValidMs } from './constants.js';
import type { Claim } from './divide.js';
import { divide } from './divide.js';
import type { NodeUse, OwnedUpstream } from './owner-state.js';
import { isFull } from './ramp.js';
import { hash32 } from './rendezvous.js';

interface Amount {
  readonly slots: number;
  readonly memoryTokens: number;
}

/** How long one node keeps the first call on whole slots that do not divide evenly. */
const rankRoundMs = 4000;

/** What a node may have in flight now: what it reported, or any limit that it may have used since. */
export const committed = (use: NodeUse): Amount => {
  let { requests: slots, memoryTokens } = use;
  for (const sent of use.sent) {
    slots = Math.max(slots, sent.slots);
    memoryTokens = Math.max(memoryTokens, sent.memoryTokens);
  }
  return { slots, memoryTokens };
};

export const rampLimits = (owned: OwnedUpstream) => ({
  full: owned.upstream.capacity,
  coldSlots: owned.upstream.coldSlots,
});

/** The present capacity as the owner divides it. */
export const presentCapacity = (owned: OwnedUpstream): Amount => ({
  slots: owned.ramp.slots,
  memoryTokens:
    (owned.ramp.report?.memoryTokensTotal ?? owned.upstream.capacity.memoryTokens) *
    owned.ramp.memoryShare,
});

/** Share of a warm upstream that a node uses while the upstream has no owner. */
export const fallbackSlots = (slots: number, memberCount: number): number =>
  Math.floor(slots / Math.max(1, memberCount));

/** Fallback shares end this long after the takeover began: a node may see the change up to 1 s later. */
const fallbackEndsMs = fallbackMs + 1000;

/** What each node of the region may use of a warm upstream without a grant from this owner. */
const fallbackShare = (
  owned: OwnedUpstream,
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): Amount => {
  const { slots, memoryTokens } = owned.upstream.capacity;
  return now - owned.ownedSince >= fallbackEndsMs
    ? { slots: 0, memoryTokens: 0 }
    : {
        slots: fallbackSlots(slots, regionNodes.length),
        memoryTokens: fallbackSlots(memoryTokens, regionNodes.length),
      };
};

const nothing: Amount = { slots: 0, memoryTokens: 0 };

/** What all nodes but one have or may come to have in flight. */
const committedToOthers = (
  owned: OwnedUpstream,
  node: NodeId,
  regionNodes: readonly NodeId[],
  share: Amount,
): Amount => {
  let { slots, memoryTokens } = nothing;
  for (const id of Object.keys(owned.uses)) {
    const use = owned.uses[id];
    if (id === node || use === undefined) {
      continue;
    }
    const known = committed(use);
    slots += Math.max(known.slots, share.slots);
    memoryTokens += Math.max(known.memoryTokens, share.memoryTokens);
  }
  if (share.slots === 0 && share.memoryTokens === 0) {
    return { slots, memoryTokens };
  }
  for (const id of regionNodes) {
    if (id !== node && owned.uses[id] === undefined) {
      slots += share.slots;
      memoryTokens += share.memoryTokens;
    }
  }
  return { slots, memoryTokens };
};

const claims = (
  owned: OwnedUpstream,
  now: Milliseconds,
  need: (use: NodeUse) => number,
): readonly Claim[] =>
  Object.entries(owned.uses)
    .filter(([, use]) => use.ended !== true && now - use.heardAt <= limitValidMs)
    .map(([id, use]) => ({
      id,
      need: need(use),
      // A node with work in flight keeps its slot; the others take turns.
      rank:
        (use.requests > 0 ? 0 : 2 ** 32) +
        hash32(`${owned.upstream.id}/${id}/${Math.floor(now / rankRoundMs)}`),
    }));

const workOfOthers = (owned: OwnedUpstream, node: NodeId): OtherNodesUsage => {
  let requests = owned.foreign;
  let memoryTokens = 0;
  for (const [id, use] of Object.entries(owned.uses)) {
    if (id !== node) {
      requests += use.requests;
      memoryTokens += use.memoryTokens;
    }
  }
  return { requests, memoryTokens };
};

/** The limit of one node. The sum over nodes of max(limit, work in flight) stays within the capacity. */
export const limitFor = (
  owned: OwnedUpstream,
  node: NodeId,
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): UpstreamLimit => {
  const warm = isFull(owned.ramp, rampLimits(owned));
  const capacity = presentCapacity(owned);
  const slots = Math.max(0, capacity.slots - owned.foreign);
  const share = warm ? fallbackShare(owned, regionNodes, now) : nothing;
  const others = committedToOthers(owned, node, regionNodes, share);
  const freeSlots = slots - others.slots;
  const freeMemory = capacity.memoryTokens - others.memoryTokens;
  const slotParts = divide(
    slots,
    claims(owned, now, (use) => use.requests + use.wantedRequests),
    warm,
  );
  const memoryParts = divide(
    capacity.memoryTokens,
    claims(owned, now, (use) => use.memoryTokens + use.wantedMemoryTokens),
    true,
  );
  return {
    upstream: owned.upstream.id,
    slots: Math.max(0, Math.min(slotParts.get(node) ?? 0, freeSlots)),
    memoryTokens: Math.max(0, Math.min(memoryParts.get(node) ?? 0, freeMemory)),
    validMs: limitValidMs,
    warm,
    others: workOfOthers(owned, node),
  };
};
