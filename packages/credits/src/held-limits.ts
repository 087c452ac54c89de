import type {
  CreditDemand,
  CreditGrant,
  HeldLimit,
  UpstreamUsage,
  Milliseconds,
  NodeId,
  UpstreamId,
} from '@zinniagrade/types';
import { fallbackDurationMs, freezeGapMs, limitValidMs } from './constants.js';
import { equalShare } from './node-limits.js';

interface SentDemand {
  readonly sequence: number;
  readonly sentAt: Milliseconds;
}

/** Demands sent to one owner, and the last grant received from it. */
interface OwnerExchange {
  readonly sentDemands: readonly SentDemand[];
  readonly lastGrantSequence: number;
  readonly lastGrantDemandSentAt: Milliseconds;
}

interface GrantedLimit extends HeldLimit {
  readonly owner: NodeId;
}

/** The owner of an upstream, as this node knows it. */
interface KnownOwner {
  readonly owner: NodeId;
  readonly changedAt: Milliseconds;
  /** A limit of the former owner that lapsed before this time may have been granted to other nodes. */
  readonly minFallbackLapsesAt: Milliseconds;
}

/** The limits that one node holds, by upstream. Times are of the node's monotonic clock. */
export interface HeldLimits {
  readonly nextSequence: number;
  readonly exchanges: Readonly<Record<NodeId, OwnerExchange>>;
  readonly limits: Readonly<Record<UpstreamId, GrantedLimit>>;
  readonly owners: Readonly<Record<UpstreamId, KnownOwner>>;
  readonly lastEventAt: Milliseconds;
}

export type HeldLimitsEvent =
  /** The owner of each upstream that the node may use, after a change of members or configuration. */
  | {
      readonly kind: 'owners';
      readonly owners: Readonly<Record<UpstreamId, NodeId>>;
      /**
       * Nodes that are alive or suspect. A former owner among them may still grant its upstream's
       * capacity.
       */
      readonly liveNodes: ReadonlySet<NodeId>;
    }
  /** Sends demands: the work in flight and the work wanted, for every upstream that the node may use. */
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
 * A dead owner counts as gone after 3 s and has answered within the last half second before its
 * death, so its last limit lapsed at most 2 s before the owner changes. Capacity of older limits
 * may have been granted to other nodes.
 */
const maxFallbackLapsedMs = 2500;

export const HeldLimits = {
  /** `firstSequence` must rise with each start of the node, as its start time in milliseconds does. */
  create: (firstSequence: number, now: Milliseconds): HeldLimits => ({
    nextSequence: firstSequence,
    exchanges: {},
    limits: {},
    owners: {},
    lastEventAt: now,
  }),
};

const newExchange: OwnerExchange = {
  sentDemands: [],
  lastGrantSequence: -1,
  lastGrantDemandSentAt: Number.NEGATIVE_INFINITY,
};

const setOwners = (
  state: HeldLimits,
  owners: Readonly<Record<UpstreamId, NodeId>>,
  liveNodes: ReadonlySet<NodeId>,
  now: Milliseconds,
): HeldLimits => {
  const knownOwner = (upstream: UpstreamId, owner: NodeId): KnownOwner => {
    const before = state.owners[upstream];
    if (before?.owner === owner) {
      return before;
    }
    const isFormerOwnerLive = before !== undefined && liveNodes.has(before.owner);
    return {
      owner,
      changedAt: now,
      minFallbackLapsesAt: isFormerOwnerLive ? now : now - maxFallbackLapsedMs,
    };
  };
  return {
    ...state,
    owners: Object.fromEntries(
      Object.entries(owners).map(([upstream, owner]) => [upstream, knownOwner(upstream, owner)]),
    ),
    limits: Object.fromEntries(
      Object.entries(state.limits).filter(([upstream]) => owners[upstream] !== undefined),
    ),
  };
};

/** Demands whose grant would still be valid. */
const answerableDemands = (exchange: OwnerExchange, now: Milliseconds): readonly SentDemand[] =>
  exchange.sentDemands.filter(({ sentAt }) => now - sentAt < limitValidMs);

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
  const exchanges: Record<NodeId, OwnerExchange> = { ...state.exchanges };
  const actions: DemandAction[] = [];
  for (const [owner, entries] of byOwner) {
    const exchange = exchanges[owner] ?? newExchange;
    const sentDemands = [...answerableDemands(exchange, now), { sequence, sentAt: now }];
    const holdsGrant = now - exchange.lastGrantDemandSentAt < limitValidMs;
    const oldestUsable = holdsGrant
      ? exchange.lastGrantSequence
      : (sentDemands[0]?.sequence ?? sequence);
    exchanges[owner] = { ...exchange, sentDemands };
    const message = { kind: 'credit-demand', sequence, oldestUsable, inFlight: entries } as const;
    actions.push({ kind: 'send', to: { node: owner, message } });
  }
  return { state: { ...state, nextSequence: sequence + 1, exchanges }, actions };
};

const applyGrant = (
  state: HeldLimits,
  owner: NodeId,
  grant: CreditGrant,
  now: Milliseconds,
): HeldLimits => {
  const exchange = state.exchanges[owner];
  const demand = exchange?.sentDemands.find(({ sequence }) => sequence === grant.sequence);
  if (
    exchange === undefined ||
    demand === undefined ||
    grant.sequence <= exchange.lastGrantSequence
  ) {
    return state;
  }
  if (now - demand.sentAt >= limitValidMs) {
    return state;
  }
  const limits: Record<UpstreamId, GrantedLimit> = { ...state.limits };
  for (const { upstream, validMs, ...limit } of grant.limits) {
    if (state.owners[upstream]?.owner === owner) {
      const lapsesAt = demand.sentAt + Math.min(validMs, limitValidMs);
      limits[upstream] = { ...limit, lapsesAt, owner };
    }
  }
  const updatedExchange = {
    ...exchange,
    lastGrantSequence: grant.sequence,
    lastGrantDemandSentAt: demand.sentAt,
  };
  return { ...state, exchanges: { ...state.exchanges, [owner]: updatedExchange }, limits };
};

/**
 * After a freeze no limit is known to be valid: all limits lapse, and grants for earlier demands
 * are ignored.
 */
const lapseAll = (state: HeldLimits, now: Milliseconds): HeldLimits => ({
  ...state,
  exchanges: {},
  limits: {},
  owners: Object.fromEntries(
    Object.entries(state.owners).map(([id, { owner }]) => [
      id,
      { owner, changedAt: now, minFallbackLapsesAt: now },
    ]),
  ),
  lastEventAt: now,
});

/**
 * The node's side of the limits: sends demands to the owners, and holds the granted limits until
 * they lapse.
 */
export const stepHeldLimits = (
  state: HeldLimits,
  event: HeldLimitsEvent,
  now: Milliseconds,
): HeldLimitsStep => {
  const current =
    now - state.lastEventAt > freezeGapMs ? lapseAll(state, now) : { ...state, lastEventAt: now };
  switch (event.kind) {
    case 'owners':
      return { state: setOwners(current, event.owners, event.liveNodes, now), actions: [] };
    case 'demand':
      return sendDemands(current, event.inFlight, now);
    case 'grant':
      return { state: applyGrant(current, event.owner, event.grant, now), actions: [] };
    case 'tick':
      return { state: current, actions: [] };
  }
};

/**
 * The limit in force for one upstream. Without a valid grant, a warm upstream whose owner has just
 * changed may be used up to an equal share by member count, but never above the last limit held;
 * any other upstream gets no new work. `capacity` is the configured capacity of the upstream.
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
  const fallbackEndsAt = owner.changedAt + fallbackDurationMs;
  const isRecentLimit = granted.lapsesAt >= owner.minFallbackLapsesAt;
  if (!granted.warm || granted.owner === owner.owner || !isRecentLimit || now >= fallbackEndsAt) {
    return undefined;
  }
  return {
    slots: Math.min(granted.slots, equalShare(capacity.slots, memberCount)),
    memoryTokens: Math.min(granted.memoryTokens, equalShare(capacity.memoryTokens, memberCount)),
    warm: true,
    lapsesAt: fallbackEndsAt,
  };
};

/** The limits in force for a node view. Leaves out upstreams without a limit. */
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
