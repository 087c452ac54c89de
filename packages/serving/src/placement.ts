import type { Random } from '@zinniagrade/clock';
import type { FleetMember } from './fleet.js';
import { ownUse, type UpstreamUse } from './peer-use.js';
import { occupancy, paceOf } from './service-load.js';
import { createPauseCost, type PauseGoal } from './stream-pace.js';

/** Engine resources that one generation is expected to need. */
export interface GenerationNeed {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Restrictions and preferences for the choice of an upstream. */
export interface PlacementConstraints {
  readonly nowMs: number;
  /** Ids of upstreams that the request must not go to, such as those already tried. */
  readonly excludedUpstreams: ReadonlySet<string>;
  /** Data centres that get no new requests. */
  readonly withdrawnDataCentres: ReadonlySet<string>;
  /** Whether further rules, such as a rollout or the cold limit, allow requests to the upstream. */
  readonly allows: (member: FleetMember) => boolean;
  /** The preferred data centre, and the cost of any other, in milliseconds of waiting time. */
  readonly locality?: { readonly dataCentre: string; readonly remotePenaltyMs: number };
  /** Use of an upstream by the other nodes. */
  readonly peerUse: (upstream: string) => UpstreamUse;
  /** Requests that other nodes are placing right now, unknown to this node; see `PlacementRate`. */
  readonly unknownPlacements: number;
  /** Set for a long stream, which is late if its engine is slow after the first event. */
  readonly pauseGoal?: PauseGoal;
}

/** Expected use of an upstream by all nodes. */
export interface ExpectedUse {
  readonly requests: number;
  readonly promptTokens: number;
  readonly memoryTokens: number;
}

/** The cost of an upstream is multiplied by 1 plus this factor times its failure share. */
const failureWeight = 8;
/** Costs within this share of the lowest count as equal; a random choice spreads the nodes. */
const tieTolerance = 0.03;
/**
 * Assumed until the first event of any engine is measured. Engines interleave prompt processing
 * with output tokens.
 */
const defaultMsPerPromptToken = 0.14;
/** Cost of a full batch, which slows down each token, as waiting time for the first event. */
const fullBatchPenaltyMs = 250;
/** Cost of full memory, where engines preempt requests, as waiting time for the first event. */
const fullMemoryPenaltyMs = 400;
/** Memory share above which preemption is likely, as output lengths are only estimates. */
const preemptionMemoryShare = 0.92;
/** Cost per unit of memory share above `preemptionMemoryShare`: a preempted stream is late. */
const overflowPenaltyMs = 20_000;

/** Upstreams for each unknown placement; with fewer, many of the random choices still meet. */
const candidatesPerPlacement = 3;

/** Whether the upstream may get new requests at all. */
export const isUsable = (member: FleetMember, constraints: PlacementConstraints): boolean =>
  !member.leaving &&
  member.goneAtMs === undefined &&
  member.avoidUntilMs <= constraints.nowMs &&
  member.waitUntilMs <= constraints.nowMs &&
  !constraints.excludedUpstreams.has(member.upstream.id) &&
  !constraints.withdrawnDataCentres.has(member.upstream.dataCentre) &&
  constraints.allows(member);

/**
 * Combines two sources. The announcements of nodes about what they sent are up to date; the load
 * report of an engine is older but includes requests of nodes that are unknown here. For memory the
 * larger value is used.
 */
export const expectedUse = (
  member: FleetMember,
  peerUse: PlacementConstraints['peerUse'],
): ExpectedUse => {
  const own = ownUse(member);
  const peers = peerUse(member.upstream.id);
  return {
    requests: own.requests + peers.requests,
    promptTokens: own.promptTokens + peers.promptTokens,
    memoryTokens: Math.max(
      own.memoryTokens + peers.memoryTokens,
      member.engineLoad?.usedTokens ?? 0,
    ),
  };
};

/** Expected memory use of an engine including the new request, as a share of its total memory. */
export const memoryShare = (
  member: FleetMember,
  need: GenerationNeed,
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
): number => {
  const total = Math.max(1, member.engineLoad?.totalTokens ?? engineMemoryTokens);
  const use = expectedUse(member, constraints.peerUse);
  return (use.memoryTokens + need.promptTokens + need.outputTokens) / total;
};

/**
 * Expected memory use of running requests, as a share of the memory of all usable engines. Backup
 * copies do not count, as running requests take precedence: where those fill the engines, a copy
 * would make others wait.
 */
export const runningMemoryShare = (
  members: readonly FleetMember[],
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
): number => {
  let running = 0;
  let total = 0;
  for (const member of members) {
    if (isUsable(member, constraints)) {
      const own = ownUse(member);
      const peers = constraints.peerUse(member.upstream.id);
      running += own.memoryTokens - own.copyTokens + peers.memoryTokens - peers.copyTokens;
      total += member.engineLoad?.totalTokens ?? engineMemoryTokens;
    }
  }
  return total === 0 ? 1 : running / total;
};

/**
 * Mean time per queued prompt token of the measured engines, assumed for those not measured yet.
 */
export const typicalMsPerPromptToken = (members: readonly FleetMember[]): number => {
  let sum = 0;
  let measured = 0;
  for (const { msPerPromptToken } of members) {
    sum += msPerPromptToken;
    measured += msPerPromptToken > 0 ? 1 : 0;
  }
  return measured === 0 ? defaultMsPerPromptToken : sum / measured;
};

/** Expected time to the first event: the engine processes all queued prompts before this one. */
export const expectedFirstEventMs = (
  member: FleetMember,
  need: GenerationNeed,
  constraints: PlacementConstraints,
  typicalMsPerToken: number,
): number => {
  const msPerToken = member.msPerPromptToken === 0 ? typicalMsPerToken : member.msPerPromptToken;
  const waiting = expectedUse(member, constraints.peerUse).promptTokens;
  return (waiting + need.promptTokens) * msPerToken;
};

/** Expected time to the first event, plus penalties for a crowded, remote or failing engine. */
export const generationCostMs = (
  member: FleetMember,
  need: GenerationNeed,
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
  typicalMsPerToken: number,
): number => {
  const use = expectedUse(member, constraints.peerUse);
  const memoryUse = memoryShare(member, need, engineMemoryTokens, constraints);
  const waitMs = expectedFirstEventMs(member, need, constraints, typicalMsPerToken);
  const batchPenaltyMs = (fullBatchPenaltyMs * use.requests) / Math.max(1, member.upstream.slots);
  const overflowCostMs = overflowPenaltyMs * Math.max(0, memoryUse - preemptionMemoryShare);
  const { locality } = constraints;
  const remotePenaltyMs =
    locality === undefined || locality.dataCentre === member.upstream.dataCentre
      ? 0
      : locality.remotePenaltyMs;
  return (
    (waitMs + batchPenaltyMs + remotePenaltyMs + fullMemoryPenaltyMs * memoryUse + overflowCostMs) *
    (1 + failureWeight * member.failureShare)
  );
};

/**
 * Chooses an upstream of low cost at random: among those that tie for the lowest, and among as many
 * of the next ones as other nodes place requests without knowing of this one. This is for many
 * nodes that decide within the time that their announcements take: with the same figures, all of
 * them would choose the same upstream. One that costs more than a second request at the cheapest
 * (`collisionCost`) is never worth it.
 */
const chooseCheap = (
  members: readonly FleetMember[],
  cost: (member: FleetMember) => number,
  collisionCost: number,
  unknownPlacements: number,
  random: Random,
): FleetMember | undefined => {
  const candidates = members.map((member) => ({ member, cost: cost(member) }));
  candidates.sort((a, b) => a.cost - b.cost);
  const lowest = candidates[0]?.cost ?? 0;
  const spreadCount = 1 + Math.round(candidatesPerPlacement * unknownPlacements);
  let count = 0;
  for (const candidate of candidates) {
    const isTie = candidate.cost <= lowest * (1 + tieTolerance);
    const isSpread = count < spreadCount && candidate.cost <= lowest + collisionCost;
    if (!isTie && !isSpread) {
      break;
    }
    count += 1;
  }
  return candidates[Math.floor(random() * count)]?.member;
};

/** Chooses an engine for a generation. This is for long generations that fill engine memory. */
export const placeGeneration = (
  members: readonly FleetMember[],
  need: GenerationNeed,
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
  random: Random,
): FleetMember | undefined => {
  const { nowMs, peerUse, pauseGoal } = constraints;
  const typicalMsPerToken = typicalMsPerPromptToken(members);
  const pauseCostMs = createPauseCost(members, pauseGoal, peerUse, nowMs);
  return chooseCheap(
    members.filter((member) => isUsable(member, constraints)),
    (member) =>
      generationCostMs(member, need, engineMemoryTokens, constraints, typicalMsPerToken) +
      pauseCostMs(member),
    need.promptTokens * typicalMsPerToken,
    constraints.unknownPlacements,
    random,
  );
};

/**
 * Chooses an upstream for a plain request. This is for short requests to a few upstreams, some of
 * them slow or failing part of the time.
 */
export const placeCall = (
  members: readonly FleetMember[],
  constraints: PlacementConstraints,
  random: Random,
): FleetMember | undefined => {
  const { nowMs, peerUse } = constraints;
  const usable = members.filter((member) => isUsable(member, constraints));
  const measured = usable.filter(({ latencyMs }) => latencyMs > 0);
  let meanLatencyMs = 0;
  for (const { latencyMs } of measured) {
    meanLatencyMs += latencyMs / measured.length;
  }
  const callCost = (member: FleetMember): number => {
    const latencyMs = member.latencyMs === 0 ? meanLatencyMs : member.latencyMs;
    return (
      occupancy(member, peerUse, nowMs) *
      Math.max(1, latencyMs) *
      paceOf(member, nowMs) *
      (1 + failureWeight * member.failureShare)
    );
  };
  const slots = usable[0]?.upstream.slots ?? 1;
  const collisionCost = meanLatencyMs / Math.max(1, slots);
  return chooseCheap(usable, callCost, collisionCost, constraints.unknownPlacements, random);
};
