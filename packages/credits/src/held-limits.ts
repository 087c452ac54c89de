import type {
  CreditDemand,
  CreditGrant,
  HeldLimit,
  UpstreamUsage,
  Milliseconds,
  NodeId,
  UpstreamId,
} from '@zinniagrade/types';
import { fallbackMs, freezeGapMs, limitValidMs } from './constants.js';
import { fallbackSlots } from './limits.js';

interface SentDemand {
  readonly sequence: number;
  readonly sentAt: Milliseconds;
}

interface OwnerLink {
  readonly sent: readonly SentDemand[];
  /** Sequence of the last grant taken in. */
  readonly granted: number;
  readonly grantedSentAt: Milliseconds;
}

interface Granted extends HeldLimit {
  readonly owner: NodeId;
}

/** The owner of an upstream in this node's view, since its last change. */
interface OwnerSeen {
  readonly owner: NodeId;
  readonly changedAt: Milliseconds;
  /** A limit of the former owner that lapsed before this may have been given to other nodes. */
  readonly lastLimitFrom: Milliseconds;
}

/** The limits that one node holds, by upstream. Times are the node's monotonic clock. */
export interface HeldLimits {
  readonly nextSequence: number;
  readonly links: Readonly<Record<NodeId, OwnerLink>>;
  readonly limits: Readonly<Record<UpstreamId, Granted>>;
  readonly owners: Readonly<Record<UpstreamId, OwnerSeen>>;
  readonly lastEventAt: Milliseconds;
}

export type HeldLimitsEvent =
  /** The owner of each upstream that the node may use, after a change of members or configuration. */
  | {
      readonly kind: 'owners';
      readonly owners: Readonly<Record<UpstreamId, NodeId>>;
      /** Nodes that are alive or suspect: a former owner among them still divides its capacity. */
      readonly liveNodes: ReadonlySet<NodeId>;
    }
  /** Time to send demands: work in flight and wanted, for every upstream that the node may use. */
  | { readonly kind: 'demand'; readonly inFlight: readonly UpstreamUsage[] }
  | { readonly kind: 'grant'; readonly owner: NodeId; readonly grant: CreditGrant }
  | { readonly kind: 'tick' };

export interface DemandAction {
  readonly kind: 'send';
  readonly to: { readonly node: NodeId; readonly message: CreditDemand };
}

export interface HeldLimitsStep {
  readonly state: HeldLimits;
  readonly actions: readonly DemandAction[];
}

/**
 * A dead owner is gone after 3 s and has answered up to half a second before its death, so the last limit
 * has lapsed for 2 s at most when the owner changes. Older limits may have been given to other nodes.
 */
const lastLimitAgeMs = 2500;

export const HeldLimits = {
  /** `firstSequence` rises with each start of the node; its start time in milliseconds does. */
  create: (firstSequence: number, now: Milliseconds): HeldLimits => ({
    nextSequence: firstSequence,
    links: {},
    limits: {},
    owners: {},
    lastEventAt: now,
  }),
};

const noLink: OwnerLink = { sent: [], granted: -1, grantedSentAt: Number.NEGATIVE_INFINITY };

const setOwners = (
  state: HeldLimits,
  owners: Readonly<Record<UpstreamId, NodeId>>,
  liveNodes: ReadonlySet<NodeId>,
  now: Milliseconds,
): HeldLimits => {
  const seen = (upstream: UpstreamId, owner: NodeId): OwnerSeen => {
    const before = state.owners[upstream];
    if (before?.owner === owner) {
      return before;
    }
    const formerLives = before !== undefined && liveNodes.has(before.owner);
    return { owner, changedAt: now, lastLimitFrom: formerLives ? now : now - lastLimitAgeMs };
  };
  return {
    ...state,
    owners: Object.fromEntries(
      Object.entries(owners).map(([upstream, owner]) => [upstream, seen(upstream, owner)]),
    ),
    limits: Object.fromEntries(
      Object.entries(state.limits).filter(([upstream]) => owners[upstream] !== undefined),
    ),
  };
};

/** Demands that can still bring a valid grant. */
const usable = (link: OwnerLink, now: Milliseconds): readonly SentDemand[] =>
  link.sent.filter(({ sentAt }) => now - sentAt < limitValidMs);

const sendDemands = (
  state: HeldLimits,
  inFlight: readonly UpstreamUsage[],
  now: Milliseconds,
): HeldLimitsStep => {
  const byOwner = new Map<NodeId, UpstreamUsage[]>();
  for (const entry of inFlight) {
    const owner = state.owners[entry.upstream]?.owner;
    if (owner !== undefined) {
      const warm = state.limits[entry.upstream]?.warm;
      const list = byOwner.get(owner) ?? [];
      list.push(warm === undefined ? entry : { ...entry, warm });
      byOwner.set(owner, list);
    }
  }
  const sequence = state.nextSequence;
  const links: Record<NodeId, OwnerLink> = { ...state.links };
  const actions: DemandAction[] = [];
  for (const [owner, entries] of byOwner) {
    const link = links[owner] ?? noLink;
    const sent = [...usable(link, now), { sequence, sentAt: now }];
    const holds = now - link.grantedSentAt < limitValidMs;
    const oldestUsable = holds ? link.granted : (sent[0]?.sequence ?? sequence);
    links[owner] = { ...link, sent };
    const message = { kind: 'credit-demand', sequence, oldestUsable, inFlight: entries } as const;
    actions.push({ kind: 'send', to: { node: owner, message } });
  }
  return { state: { ...state, nextSequence: sequence + 1, links }, actions };
};

const takeGrant = (
  state: HeldLimits,
  owner: NodeId,
  grant: CreditGrant,
  now: Milliseconds,
): HeldLimits => {
  const link = state.links[owner];
  const demand = link?.sent.find(({ sequence }) => sequence === grant.sequence);
  if (link === undefined || demand === undefined || grant.sequence <= link.granted) {
    return state;
  }
  if (now - demand.sentAt >= limitValidMs) {
    return state;
  }
  const limits: Record<UpstreamId, Granted> = { ...state.limits };
  for (const { upstream, validMs, ...limit } of grant.limits) {
    if (state.owners[upstream]?.owner === owner) {
      const lapsesAt = demand.sentAt + Math.min(validMs, limitValidMs);
      limits[upstream] = { ...limit, lapsesAt, owner };
    }
  }
  const granted = { ...link, granted: grant.sequence, grantedSentAt: demand.sentAt };
  return { ...state, links: { ...state.links, [owner]: granted }, limits };
};

/** After a freeze nothing is known to be valid: every limit lapses and no demand can be answered. */
const lapseAll = (state: HeldLimits, now: Milliseconds): HeldLimits => ({
  ...state,
  links: {},
  limits: {},
  owners: Object.fromEntries(
    Object.entries(state.owners).map(([id, { owner }]) => [
      id,
      { owner, changedAt: now, lastLimitFrom: now },
    ]),
  ),
  lastEventAt: now,
});

/** The node's side of the limits: asks the owners, and keeps what they grant until it lapses. */
export const stepHeldLimits = (
  state: HeldLimits,
  event: HeldLimitsEvent,
  now: Milliseconds,
): HeldLimitsStep => {
  const awake =
    now - state.lastEventAt > freezeGapMs ? lapseAll(state, now) : { ...state, lastEventAt: now };
  switch (event.kind) {
    case 'owners':
      return { state: setOwners(awake, event.owners, event.liveNodes, now), actions: [] };
    case 'demand':
      return sendDemands(awake, event.inFlight, now);
    case 'grant':
      return { state: takeGrant(awake, event.owner, event.grant, now), actions: [] };
    case 'tick':
      return { state: awake, actions: [] };
  }
};

/**
 * The limit in force for one upstream. Without a valid grant a warm upstream whose owner has just
 * changed is used up to its share by member count, and never above the last limit held; anything else
 * gets no new work. `capacity` is the upstream's configured one.
 */
export const currentLimit = (
  state: HeldLimits,
  upstream: UpstreamId,
  capacity: { readonly slots: number; readonly memoryTokens: number },
  memberCount: number,
  now: Milliseconds,
): HeldLimit | undefined => {
  const granted = state.limits[upstream];
  const owner = state.owners[upstream];
  if (granted === undefined || owner === undefined || now - state.lastEventAt > freezeGapMs) {
    return undefined;
  }
  if (now < granted.lapsesAt && granted.owner === owner.owner) {
    return granted;
  }
  const until = owner.changedAt + fallbackMs;
  const recent = granted.lapsesAt >= owner.lastLimitFrom;
  if (!granted.warm || granted.owner === owner.owner || !recent || now >= until) {
    return undefined;
  }
  return {
    slots: Math.min(granted.slots, fallbackSlots(capacity.slots, memberCount)),
    memoryTokens: Math.min(granted.memoryTokens, fallbackSlots(capacity.memoryTokens, memberCount)),
    warm: true,
    lapsesAt: until,
  };
};

/** The limits in force for a node view; upstreams without one are left out. */
export const currentLimits = (
  state: HeldLimits,
  upstreams: Readonly<
    Record<
      UpstreamId,
      { readonly capacity: { readonly slots: number; readonly memoryTokens: number } }
    >
  >,
  memberCount: number,
  now: Milliseconds,
): ReadonlyMap<UpstreamId, HeldLimit> => {
  const limits = new Map<UpstreamId, HeldLimit>();
  for (const id of Object.keys(state.owners)) {
    const upstream = upstreams[id];
    const limit =
      upstream === undefined
        ? undefined
        : currentLimit(state, id, upstream.capacity, memberCount, now);
    if (limit !== undefined) {
      limits.set(id, limit);
    }
  }
  return limits;
};
