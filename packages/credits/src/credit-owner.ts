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
import { committed, limitFor, rampLimits } from './limits.js';
import type {
  CreditOwnerAction,
  CreditOwnerEvent,
  CreditOwnerState,
  CreditOwnerStep,
  NodeUse,
  Ownable,
  OwnedUpstream,
} from './owner-state.js';
import { learn } from './normal-times.js';
import type { NormalTimes } from './ramp.js';
import { Ramp, firstNormalTimes, isFull, takeEvidence, takeReport } from './ramp.js';

/** Reports that are kept: together they are older than a load report can be late. */
const knownReports = 5;
/** One report can show too little: nodes may have had less in flight between two demands. */
const unaccountedReports = 3;
/**
 * Reports, up to 2 s late, account for a silent node's work only this long after its last demand: its
 * limits lapse after 2 s.
 */
const silentUntilReportMs = 2 * limitValidMs;
/** Sequences begin at the start time of a process in milliseconds, so a jump shows a new process. */
const restartJump = 1000;
/** Time without a load report after which an upstream counts as lost. */
const silentReportsMs = 2000;

export const CreditOwner = {
  create: (nodeId: NodeId, now: Milliseconds): CreditOwnerState => ({
    nodeId,
    owned: {},
    regionNodes: [],
    normal: {},
    lastTickAt: now,
    polledAt: Number.NEGATIVE_INFINITY,
  }),
};

const takeOver = (ownable: Ownable, now: Milliseconds): OwnedUpstream => ({
  ...ownable,
  ownedSince: now,
  reportedAt: now,
  ramp: Ramp.create(Math.min(ownable.upstream.coldSlots, ownable.upstream.capacity.slots)),
  grants: false,
  saidWarm: false,
  saidCold: false,
  foreign: Number.MAX_SAFE_INTEGER,
  known: [],
  unaccounted: [],
  uses: {},
});

const setOwnership = (
  state: CreditOwnerState,
  ownables: readonly Ownable[],
  regionNodes: readonly NodeId[],
  now: Milliseconds,
): CreditOwnerState => {
  const owned: Record<UpstreamId, OwnedUpstream> = {};
  for (const ownable of ownables) {
    const before = state.owned[ownable.upstream.id];
    owned[ownable.upstream.id] =
      before === undefined ? takeOver(ownable, now) : { ...before, ...ownable };
  }
  return { ...state, owned, regionNodes };
};

const restart = (state: CreditOwnerState, now: Milliseconds): CreditOwnerState => ({
  ...state,
  owned: Object.fromEntries(
    Object.entries(state.owned).map(([id, owned]) => [id, takeOver(owned, now)]),
  ),
});

/** Ends the takeover: the upstream is at full capacity only if it and the nodes called it warm. */
const endTakeover = (owned: OwnedUpstream): OwnedUpstream => {
  const warm = owned.ramp.report?.warm === true && owned.saidWarm && !owned.saidCold;
  const { coldSlots, capacity } = owned.upstream;
  const slots = warm ? capacity.slots : Math.min(coldSlots, capacity.slots);
  return { ...owned, grants: true, ramp: { ...owned.ramp, slots } };
};

const isSilent = (use: NodeUse, now: Milliseconds): boolean =>
  now - use.heardAt > silentUntilReportMs;

/** Takes in a report, and counts the work of nodes that have been silent for long as foreign. */
const takeLoadReport = (
  owned: OwnedUpstream,
  report: LoadReport,
  now: Milliseconds,
): OwnedUpstream => {
  const ramp = takeReport(owned.ramp, rampLimits(owned), report, now);
  const uses = Object.entries(owned.uses);
  const silent = uses.filter(([, use]) => isSilent(use, now));
  const heard = uses.filter(([, use]) => !isSilent(use, now));
  const dropped = silent.reduce((sum, [, use]) => sum + committed(use).slots, 0);
  const inFlight = heard.reduce((sum, [, use]) => sum + use.requests, 0);
  const known = [...owned.known, inFlight].slice(-knownReports);
  // The report shows an earlier moment, at which the heard nodes may have had less in flight than now.
  const beyond = Math.max(0, report.running + report.waiting - Math.min(...known));
  const unaccounted = [...owned.unaccounted, beyond].slice(-unaccountedReports);
  return {
    ...owned,
    reportedAt: now,
    ramp,
    known,
    unaccounted,
    uses: silent.length === 0 ? owned.uses : Object.fromEntries(heard),
    foreign: Math.min(owned.foreign + dropped, Math.max(...unaccounted)),
  };
};

/** A sequence that does not rise is a repeated or late demand, whose counts are out of date. */
const takeUse = (
  owned: OwnedUpstream,
  node: NodeId,
  demand: CreditDemand,
  inFlight: UpstreamUsage,
  normal: NormalTimes,
  now: Milliseconds,
): OwnedUpstream => {
  const before = owned.uses[node];
  if (before !== undefined && demand.sequence <= before.sequence) {
    return owned;
  }
  const use: NodeUse = {
    heardAt: now,
    sequence: demand.sequence,
    requests: inFlight.requests,
    memoryTokens: inFlight.memoryTokens,
    wantedRequests: inFlight.wantedRequests,
    wantedMemoryTokens: inFlight.wantedMemoryTokens,
    sent: (before?.sent ?? []).filter((sent) => sent.sequence >= (demand.oldestUsable ?? 0)),
  };
  const restarted = before !== undefined && demand.sequence - before.sequence > restartJump;
  const ended = restarted
    ? { [`${node}#${before.sequence}`]: { ...before, heardAt: now, ended: true } }
    : {};
  return {
    ...owned,
    ramp: owned.grants ? takeEvidence(owned.ramp, rampLimits(owned), inFlight, normal) : owned.ramp,
    saidWarm: owned.saidWarm || inFlight.warm === true,
    saidCold: owned.saidCold || inFlight.warm === false,
    uses: { ...owned.uses, ...ended, [node]: use },
  };
};

/** An upstream that does not answer may have died: no grants until it reports, and then from cold. */
const loseSight = (owned: OwnedUpstream, now: Milliseconds): OwnedUpstream => {
  if (owned.ramp.report === undefined || now - owned.reportedAt <= silentReportsMs) {
    return owned;
  }
  const slots = Math.min(owned.upstream.coldSlots, owned.upstream.capacity.slots);
  return { ...owned, grants: false, saidCold: true, ramp: Ramp.create(slots) };
};

const recordSent = (
  owned: OwnedUpstream,
  node: NodeId,
  sequence: number,
  limit: { readonly slots: number; readonly memoryTokens: number },
): OwnedUpstream => {
  const use = owned.uses[node];
  if (use === undefined) {
    return owned;
  }
  const sent = [...use.sent, { sequence, slots: limit.slots, memoryTokens: limit.memoryTokens }];
  return { ...owned, uses: { ...owned.uses, [node]: { ...use, sent } } };
};

/** Before it may grant, a new owner tells nodes that a cold upstream gets nothing: no fallback share. */
const noWorkWhileCold = (owned: OwnedUpstream): UpstreamLimit | undefined =>
  owned.ramp.report?.warm === false
    ? { upstream: owned.upstream.id, slots: 0, memoryTokens: 0, validMs: limitValidMs, warm: false }
    : undefined;

const takeDemand = (
  state: CreditOwnerState,
  node: NodeId,
  demand: CreditDemand,
  now: Milliseconds,
): CreditOwnerStep => {
  const owned: Record<UpstreamId, OwnedUpstream> = { ...state.owned };
  const normal: Record<string, NormalTimes> = { ...state.normal };
  const limits: UpstreamLimit[] = [];
  const actions: CreditOwnerAction[] = [];
  for (const inFlight of demand.inFlight) {
    const before = owned[inFlight.upstream];
    if (before === undefined) {
      continue;
    }
    const known = normal[before.learnedAs] ?? firstNormalTimes;
    const after = takeUse(before, node, demand, inFlight, known, now);
    if (after === before) {
      continue;
    }
    if (isFull(after.ramp, rampLimits(after))) {
      normal[before.learnedAs] = learn(known, inFlight);
    }
    owned[inFlight.upstream] = after;
    actions.push(...capacityChange(before, after));
    const limit = after.grants
      ? limitFor(after, node, state.regionNodes, now)
      : noWorkWhileCold(after);
    if (limit !== undefined) {
      limits.push(limit);
      owned[inFlight.upstream] = recordSent(after, node, demand.sequence, limit);
    }
  }
  if (limits.length > 0) {
    const message = { kind: 'credit-grant', sequence: demand.sequence, limits } as const;
    actions.push({ kind: 'send', to: { node, message } });
  }
  return { state: { ...state, owned, normal }, actions };
};

const capacityChange = (before: OwnedUpstream, after: OwnedUpstream): CreditOwnerAction[] =>
  before.ramp.slots === after.ramp.slots
    ? []
    : [
        {
          kind: 'capacity-changed',
          upstream: after.upstream.id,
          slots: after.ramp.slots,
          warm: isFull(after.ramp, rampLimits(after)),
        },
      ];

const tick = (state: CreditOwnerState, now: Milliseconds): CreditOwnerStep => {
  const frozen = now - state.lastTickAt > freezeGapMs;
  const awake = frozen ? restart(state, now) : state;
  const polls = now - awake.polledAt >= creditIntervalMs;
  const owned: Record<UpstreamId, OwnedUpstream> = {};
  const actions: CreditOwnerAction[] = [];
  for (const [id, known] of Object.entries(awake.owned)) {
    const before = loseSight(known, now);
    const ends = !before.grants && now - before.ownedSince >= takeoverWaitMs;
    // Without a report nobody can tell how much foreign work there is.
    owned[id] = ends && before.ramp.report !== undefined ? endTakeover(before) : before;
    if (polls) {
      actions.push({ kind: 'poll-load', upstream: id });
    }
  }
  return {
    state: { ...awake, owned, lastTickAt: now, polledAt: polls ? now : awake.polledAt },
    actions,
  };
};

const reportLoad = (
  state: CreditOwnerState,
  upstream: UpstreamId,
  report: LoadReport,
  now: Milliseconds,
): CreditOwnerStep => {
  const before = state.owned[upstream];
  if (before === undefined) {
    return { state, actions: [] };
  }
  const after = takeLoadReport(before, report, now);
  return {
    state: { ...state, owned: { ...state.owned, [upstream]: after } },
    actions: capacityChange(before, after),
  };
};

/** The owner's side of the limits: divides what each upstream bears among the nodes that ask. */
export const stepCreditOwner = (
  state: CreditOwnerState,
  event: CreditOwnerEvent,
  now: Milliseconds,
): CreditOwnerStep => {
  // A message can be the first thing that a frozen process handles when it wakes.
  if (event.kind !== 'tick' && now - state.lastTickAt > freezeGapMs) {
    const awake = { ...restart(state, now), lastTickAt: now };
    return stepCreditOwner(awake, event, now);
  }
  switch (event.kind) {
    case 'ownership':
      return { state: setOwnership(state, event.owned, event.regionNodes, now), actions: [] };
    case 'load-report':
      return reportLoad(state, event.upstream, event.report, now);
    case 'demand':
      return takeDemand(state, event.node, event.demand, now);
    case 'tick':
      return tick(state, now);
    case 'restart':
      return { state: restart(state, now), actions: [] };
  }
};
