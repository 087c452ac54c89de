import type {
  CreditDemand,
  UpstreamUsage,
  LoadReport,
  Milliseconds,
  NodeId,
  UpstreamId,
  UpstreamLimit,
} from '@zinniagrade/types';
import { creditIntervalMs, freezeGapMs, limitValidMs, takeoverWaitMs } from './constants.js';
import { maxCommitted, limitFor, rampLimits } from './node-limits.js';
import type {
  CreditOwnerAction,
  CreditOwnerEvent,
  CreditOwnerState,
  CreditOwnerStep,
  NodeUsage,
  UpstreamOwnership,
  OwnedUpstream,
} from './owner-state.js';
import { updateLatencyMedians } from './latency-medians.js';
import type { LatencyMedians } from './ramp.js';
import { Ramp, initialLatencyMedians, isFullyRamped, applyEvidence, applyReport } from './ramp.js';

/** Number of samples kept. They span more time than the greatest delay of a load report. */
const attributedSampleCount = 5;
/**
 * A single load report can show too little, as nodes may have had less in flight between two
 * demands.
 */
const unattributedSampleCount = 3;
/**
 * Load reports account for the work of a silent node only this long after its last demand: its
 * limits lapse after 2 s, and a report can be up to 2 s late.
 */
const silentNodeAfterMs = 2 * limitValidMs;
/**
 * Sequences start at the process's start time in milliseconds, so a larger jump shows a restarted
 * process.
 */
const minRestartSequenceJump = 1000;
/** An upstream without a load report for longer than this counts as lost. */
const loadReportTimeoutMs = 2000;

export const CreditOwner = {
  create: (nodeId: NodeId, now: Milliseconds): CreditOwnerState => ({
    nodeId,
    owned: {},
    regionNodes: [],
    latencyMedians: {},
    lastTickAt: now,
    lastPollAt: Number.NEGATIVE_INFINITY,
  }),
};

const beginTakeover = (ownership: UpstreamOwnership, now: Milliseconds): OwnedUpstream => ({
  ...ownership,
  ownedSince: now,
  lastReportAt: now,
  ramp: Ramp.create(Math.min(ownership.upstream.coldSlots, ownership.upstream.capacity.slots)),
  mayGrant: false,
  nodesReportedWarm: false,
  nodesReportedCold: false,
  unattributedRequests: Number.MAX_SAFE_INTEGER,
  attributedSamples: [],
  unattributedSamples: [],
  usageByNode: {},
});

const setOwnership = (
  state: CreditOwnerState,
  ownerships: readonly UpstreamOwnership[],
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): CreditOwnerState => {
  const owned: Record<UpstreamId, OwnedUpstream> = {};
  for (const ownership of ownerships) {
    const before = state.owned[ownership.upstream.id];
    owned[ownership.upstream.id] =
      before === undefined ? beginTakeover(ownership, now) : { ...before, ...ownership };
  }
  return { ...state, owned, regionNodes };
};

const restartTakeovers = (state: CreditOwnerState, now: Milliseconds): CreditOwnerState => ({
  ...state,
  owned: Object.fromEntries(
    Object.entries(state.owned).map(([id, owned]) => [id, beginTakeover(owned, now)]),
  ),
});

/**
 * Ends the takeover. The upstream starts at full capacity only if both it and the nodes reported it
 * as warm.
 */
const endTakeover = (owned: OwnedUpstream): OwnedUpstream => {
  const warm =
    owned.ramp.report?.warm === true && owned.nodesReportedWarm && !owned.nodesReportedCold;
  const { coldSlots, capacity } = owned.upstream;
  const slots = warm ? capacity.slots : Math.min(coldSlots, capacity.slots);
  return { ...owned, mayGrant: true, ramp: { ...owned.ramp, slots } };
};

const isSilent = (usage: NodeUsage, now: Milliseconds): boolean =>
  now - usage.lastDemandAt > silentNodeAfterMs;

/** Applies a load report, and counts the work of nodes that fell silent as unattributed. */
const applyLoadReport = (
  owned: OwnedUpstream,
  report: LoadReport,
  now: Milliseconds,
): OwnedUpstream => {
  const ramp = applyReport(owned.ramp, rampLimits(owned), report, now);
  const uses = Object.entries(owned.usageByNode);
  const silent = uses.filter(([, usage]) => isSilent(usage, now));
  const heard = uses.filter(([, usage]) => !isSilent(usage, now));
  const silentSlots = silent.reduce((sum, [, usage]) => sum + maxCommitted(usage).slots, 0);
  const inFlight = heard.reduce((sum, [, usage]) => sum + usage.requests, 0);
  const attributedSamples = [...owned.attributedSamples, inFlight].slice(-attributedSampleCount);
  // The report describes an earlier moment, at which the reporting nodes may have had less in
  // flight than now.
  const unattributedRequests = Math.max(
    0,
    report.running + report.waiting - Math.min(...attributedSamples),
  );
  const unattributedSamples = [...owned.unattributedSamples, unattributedRequests].slice(
    -unattributedSampleCount,
  );
  return {
    ...owned,
    lastReportAt: now,
    ramp,
    attributedSamples,
    unattributedSamples,
    usageByNode: silent.length === 0 ? owned.usageByNode : Object.fromEntries(heard),
    unattributedRequests: Math.min(
      owned.unattributedRequests + silentSlots,
      Math.max(...unattributedSamples),
    ),
  };
};

/**
 * Applies one node's usage. Ignores a repeated or late demand, whose sequence does not rise, as out
 * of date.
 */
const applyUsage = (
  owned: OwnedUpstream,
  node: NodeId,
  demand: CreditDemand,
  inFlight: UpstreamUsage,
  medians: LatencyMedians,
  now: Milliseconds,
): OwnedUpstream => {
  const before = owned.usageByNode[node];
  if (before !== undefined && demand.sequence <= before.sequence) {
    return owned;
  }
  const usage: NodeUsage = {
    lastDemandAt: now,
    sequence: demand.sequence,
    requests: inFlight.requests,
    memoryTokens: inFlight.memoryTokens,
    wantedRequests: inFlight.wantedRequests,
    wantedMemoryTokens: inFlight.wantedMemoryTokens,
    sentLimits: (before?.sentLimits ?? []).filter(
      (sent) => sent.sequence >= (demand.oldestUsable ?? 0),
    ),
  };
  const restarted =
    before !== undefined && demand.sequence - before.sequence > minRestartSequenceJump;
  const formerUsage = restarted
    ? { [`${node}#${before.sequence}`]: { ...before, lastDemandAt: now, isFormerProcess: true } }
    : {};
  return {
    ...owned,
    ramp: owned.mayGrant
      ? applyEvidence(owned.ramp, rampLimits(owned), inFlight, medians)
      : owned.ramp,
    nodesReportedWarm: owned.nodesReportedWarm || inFlight.warm === true,
    nodesReportedCold: owned.nodesReportedCold || inFlight.warm === false,
    usageByNode: { ...owned.usageByNode, ...formerUsage, [node]: usage },
  };
};

/**
 * An upstream without load reports may have died: it gets no grants until it reports again, and
 * then starts cold.
 */
const applyReportTimeout = (owned: OwnedUpstream, now: Milliseconds): OwnedUpstream => {
  if (owned.ramp.report === undefined || now - owned.lastReportAt <= loadReportTimeoutMs) {
    return owned;
  }
  const slots = Math.min(owned.upstream.coldSlots, owned.upstream.capacity.slots);
  return { ...owned, mayGrant: false, nodesReportedCold: true, ramp: Ramp.create(slots) };
};

const recordSentLimit = (
  owned: OwnedUpstream,
  node: NodeId,
  sequence: number,
  limit: { readonly slots: number; readonly memoryTokens: number },
): OwnedUpstream => {
  const usage = owned.usageByNode[node];
  if (usage === undefined) {
    return owned;
  }
  const sentLimits = [
    ...usage.sentLimits,
    { sequence, slots: limit.slots, memoryTokens: limit.memoryTokens },
  ];
  return {
    ...owned,
    usageByNode: { ...owned.usageByNode, [node]: { ...usage, sentLimits } },
  };
};

/** During a takeover, denies the nodes the fallback share of an upstream that reports itself as cold. */
const zeroLimitIfCold = (owned: OwnedUpstream): UpstreamLimit | undefined =>
  owned.ramp.report?.warm === false
    ? { upstream: owned.upstream.id, slots: 0, memoryTokens: 0, validMs: limitValidMs, warm: false }
    : undefined;

const handleDemand = (
  state: CreditOwnerState,
  node: NodeId,
  demand: CreditDemand,
  now: Milliseconds,
): CreditOwnerStep => {
  const owned: Record<UpstreamId, OwnedUpstream> = { ...state.owned };
  const latencyMedians: Record<string, LatencyMedians> = { ...state.latencyMedians };
  const limits: UpstreamLimit[] = [];
  const actions: CreditOwnerAction[] = [];
  for (const inFlight of demand.inFlight) {
    const before = owned[inFlight.upstream];
    if (before === undefined) {
      continue;
    }
    const medians = latencyMedians[before.latencyKey] ?? initialLatencyMedians;
    const after = applyUsage(before, node, demand, inFlight, medians, now);
    if (after === before) {
      continue;
    }
    if (isFullyRamped(after.ramp, rampLimits(after))) {
      latencyMedians[before.latencyKey] = updateLatencyMedians(medians, inFlight);
    }
    owned[inFlight.upstream] = after;
    actions.push(...capacityChangeActions(before, after));
    const limit = after.mayGrant
      ? limitFor(after, node, state.regionNodes, now)
      : zeroLimitIfCold(after);
    if (limit !== undefined) {
      limits.push(limit);
      owned[inFlight.upstream] = recordSentLimit(after, node, demand.sequence, limit);
    }
  }
  if (limits.length > 0) {
    const message = { kind: 'credit-grant', sequence: demand.sequence, limits } as const;
    actions.push({ kind: 'send', to: { node, message } });
  }
  return { state: { ...state, owned, latencyMedians }, actions };
};

const capacityChangeActions = (before: OwnedUpstream, after: OwnedUpstream): CreditOwnerAction[] =>
  before.ramp.slots === after.ramp.slots
    ? []
    : [
        {
          kind: 'capacity-changed',
          upstream: after.upstream.id,
          slots: after.ramp.slots,
          warm: isFullyRamped(after.ramp, rampLimits(after)),
        },
      ];

const tick = (state: CreditOwnerState, now: Milliseconds): CreditOwnerStep => {
  const frozen = now - state.lastTickAt > freezeGapMs;
  const current = frozen ? restartTakeovers(state, now) : state;
  const isPollDue = now - current.lastPollAt >= creditIntervalMs;
  const owned: Record<UpstreamId, OwnedUpstream> = {};
  const actions: CreditOwnerAction[] = [];
  for (const [id, upstream] of Object.entries(current.owned)) {
    const before = applyReportTimeout(upstream, now);
    const isTakeoverOver = !before.mayGrant && now - before.ownedSince >= takeoverWaitMs;
    // The amount of unattributed work is unknown until the first load report.
    owned[id] = isTakeoverOver && before.ramp.report !== undefined ? endTakeover(before) : before;
    if (isPollDue) {
      actions.push({ kind: 'poll-load', upstream: id });
    }
  }
  return {
    state: { ...current, owned, lastTickAt: now, lastPollAt: isPollDue ? now : current.lastPollAt },
    actions,
  };
};

const handleLoadReport = (
  state: CreditOwnerState,
  upstream: UpstreamId,
  report: LoadReport,
  now: Milliseconds,
): CreditOwnerStep => {
  const before = state.owned[upstream];
  if (before === undefined) {
    return { state, actions: [] };
  }
  const after = applyLoadReport(before, report, now);
  return {
    state: { ...state, owned: { ...state.owned, [upstream]: after } },
    actions: capacityChangeActions(before, after),
  };
};

/**
 * The owner's side of the limits: divides the present capacity of each upstream among the nodes
 * that send demands.
 */
export const stepCreditOwner = (
  state: CreditOwnerState,
  event: CreditOwnerEvent,
  now: Milliseconds,
): CreditOwnerStep => {
  // After a freeze, a message may be handled before the first tick.
  if (event.kind !== 'tick' && now - state.lastTickAt > freezeGapMs) {
    const restarted = { ...restartTakeovers(state, now), lastTickAt: now };
    return stepCreditOwner(restarted, event, now);
  }
  switch (event.kind) {
    case 'ownership':
      return { state: setOwnership(state, event.owned, event.regionNodes, now), actions: [] };
    case 'load-report':
      return handleLoadReport(state, event.upstream, event.report, now);
    case 'demand':
      return handleDemand(state, event.node, event.demand, now);
    case 'tick':
      return tick(state, now);
    case 'restart':
      return { state: restartTakeovers(state, now), actions: [] };
  }
};
