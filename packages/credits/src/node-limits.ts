import type { Milliseconds, NodeId, OtherNodesUsage, UpstreamLimit } from '@zinniagrade/types';
import { fallbackDurationMs, limitValidMs } from './constants.js';
import type { Claim } from './fair-division.js';
import { divideFairly } from './fair-division.js';
import type { NodeUsage, OwnedUpstream } from './owner-state.js';
import { isFullyRamped } from './ramp.js';
import { hash32 } from './rendezvous.js';

interface ResourceAmount {
  readonly slots: number;
  readonly memoryTokens: number;
}

/** Interval after which slots that do not divide evenly pass to other nodes. */
const rankRotationMs = 4000;

/**
 * The most that a node may have in flight: its reported usage, or any limit that it may have used
 * since.
 */
export const maxCommitted = (usage: NodeUsage): ResourceAmount => {
  let { requests: slots, memoryTokens } = usage;
  for (const sent of usage.sentLimits) {
    slots = Math.max(slots, sent.slots);
    memoryTokens = Math.max(memoryTokens, sent.memoryTokens);
  }
  return { slots, memoryTokens };
};

export const rampLimits = (owned: OwnedUpstream) => ({
  full: owned.upstream.capacity,
  coldSlots: owned.upstream.coldSlots,
});

/** The capacity that the owner divides at present. */
export const currentCapacity = (owned: OwnedUpstream): ResourceAmount => ({
  slots: owned.ramp.slots,
  memoryTokens:
    (owned.ramp.report?.memoryTokensTotal ?? owned.upstream.capacity.memoryTokens) *
    owned.ramp.memoryShare,
});

/** Share of one node in a total that is divided equally; used for warm upstreams without an owner. */
export const equalShare = (total: number, memberCount: number): number =>
  Math.floor(total / Math.max(1, memberCount));

/**
 * Time from the start of a takeover to the end of fallback shares: a node may learn of the change
 * up to 1 s late.
 */
const fallbackEndsAfterMs = fallbackDurationMs + 1000;

/** What each node of the region may use of a warm upstream without a grant by this owner. */
const fallbackPerNode = (
  owned: OwnedUpstream,
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): ResourceAmount => {
  const { slots, memoryTokens } = owned.upstream.capacity;
  return now - owned.ownedSince >= fallbackEndsAfterMs
    ? { slots: 0, memoryTokens: 0 }
    : {
        slots: equalShare(slots, regionNodes.length),
        memoryTokens: equalShare(memoryTokens, regionNodes.length),
      };
};

const noResources: ResourceAmount = { slots: 0, memoryTokens: 0 };

/** The most that all nodes but one may have in flight. */
const committedToOthers = (
  owned: OwnedUpstream,
  node: NodeId,
  regionNodes: readonly NodeId[],
  fallback: ResourceAmount,
): ResourceAmount => {
  let { slots, memoryTokens } = noResources;
  for (const id of Object.keys(owned.usageByNode)) {
    const usage = owned.usageByNode[id];
    if (id === node || usage === undefined) {
      continue;
    }
    const committed = maxCommitted(usage);
    slots += Math.max(committed.slots, fallback.slots);
    memoryTokens += Math.max(committed.memoryTokens, fallback.memoryTokens);
  }
  if (fallback.slots === 0 && fallback.memoryTokens === 0) {
    return { slots, memoryTokens };
  }
  for (const id of regionNodes) {
    if (id !== node && owned.usageByNode[id] === undefined) {
      slots += fallback.slots;
      memoryTokens += fallback.memoryTokens;
    }
  }
  return { slots, memoryTokens };
};

const createClaims = (
  owned: OwnedUpstream,
  now: Milliseconds,
  need: (usage: NodeUsage) => number,
): readonly Claim[] =>
  Object.entries(owned.usageByNode)
    .filter(
      ([, usage]) => usage.isFormerProcess !== true && now - usage.lastDemandAt <= limitValidMs,
    )
    .map(([id, usage]) => ({
      id,
      need: need(usage),
      // A node with work in flight keeps its slot; the others take turns.
      rank:
        (usage.requests > 0 ? 0 : 2 ** 32) +
        hash32(`${owned.upstream.id}/${id}/${Math.floor(now / rankRotationMs)}`),
    }));

const workOfOthers = (owned: OwnedUpstream, node: NodeId): OtherNodesUsage => {
  let requests = owned.unattributedRequests;
  let memoryTokens = 0;
  for (const [id, usage] of Object.entries(owned.usageByNode)) {
    if (id !== node) {
      requests += usage.requests;
      memoryTokens += usage.memoryTokens;
    }
  }
  return { requests, memoryTokens };
};

/**
 * Computes the limit of one node. The sum over all nodes of max(limit, work in flight) stays within
 * the capacity.
 */
export const limitFor = (
  owned: OwnedUpstream,
  node: NodeId,
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): UpstreamLimit => {
  const warm = isFullyRamped(owned.ramp, rampLimits(owned));
  const capacity = currentCapacity(owned);
  const slots = Math.max(0, capacity.slots - owned.unattributedRequests);
  const fallback = warm ? fallbackPerNode(owned, regionNodes, now) : noResources;
  const committedByOthers = committedToOthers(owned, node, regionNodes, fallback);
  const uncommittedSlots = slots - committedByOthers.slots;
  const uncommittedMemoryTokens = capacity.memoryTokens - committedByOthers.memoryTokens;
  const slotAllocations = divideFairly(
    slots,
    createClaims(owned, now, (usage) => usage.requests + usage.wantedRequests),
    warm,
  );
  const memoryAllocations = divideFairly(
    capacity.memoryTokens,
    createClaims(owned, now, (usage) => usage.memoryTokens + usage.wantedMemoryTokens),
    true,
  );
  return {
    upstream: owned.upstream.id,
    slots: Math.max(0, Math.min(slotAllocations.get(node) ?? 0, uncommittedSlots)),
    memoryTokens: Math.max(0, Math.min(memoryAllocations.get(node) ?? 0, uncommittedMemoryTokens)),
    validMs: limitValidMs,
    warm,
    others: workOfOthers(owned, node),
  };
};
