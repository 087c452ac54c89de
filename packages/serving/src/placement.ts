import type { Random } from '@zinniagrade/clock';
import type { FleetMember } from './fleet.js';
import { ownUse, type UpstreamUse } from './peer-use.js';

/** What one generation is expected to need of an engine. */
export interface GenerationNeed {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Limits on the choice of an upstream, and what is known beside the fleet. */
export interface Choice {
  readonly nowMs: number;
  /** Upstreams that have already had this request. */
  readonly excluded: ReadonlySet<string>;
  /** Data centres that get no new work. */
  readonly withdrawn: ReadonlySet<string>;
  /** Whether traffic may go to an upstream of this version. */
  readonly allows: (member: FleetMember) => boolean;
  /** Data centre that is preferred, and what another one costs, in milliseconds of waiting. */
  readonly near?: { readonly dataCentre: string; readonly farMs: number };
  /** What the other nodes have at an upstream. */
  readonly peerUse: (upstream: string) => UpstreamUse;
}

/** Expected use of an upstream by all nodes. */
export interface ExpectedUse {
  readonly requests: number;
  readonly promptTokens: number;
  readonly memoryTokens: number;
}

/** A smoothed share of failures counts as this many times the load. */
const failureWeight = 8;
/** Costs that differ by less than this share are decided at random, so that nodes spread. */
const tieShare = 0.03;
/** Used before the first event of any engine was seen; engines read prompts between other tokens. */
const defaultMsPerPromptToken = 0.14;
/** An engine in full use slows each token; counted against the wait for the first event. */
const fullBatchMs = 250;
/** Engines near the end of their memory preempt requests; counted against the first event. */
const fullMemoryMs = 400;
/** Memory use from which preemption is likely, as lengths are only estimates. */
const memoryLimitShare = 0.92;
/** Cost of memory over the limit, for each share of the memory: a preempted stream is late. */
const overflowMs = 20_000;

/** Whether new work may go to the upstream at all. */
export const isUsable = (member: FleetMember, choice: Choice): boolean =>
  !member.leaving &&
  member.goneAtMs === undefined &&
  member.avoidUntilMs <= choice.nowMs &&
  !choice.excluded.has(member.upstream.id) &&
  !choice.withdrawn.has(member.upstream.dataCentre) &&
  choice.allows(member);

/**
 * Nodes tell each other what they have sent, which is known at once; the engine's own report is
 * older, and also contains what unknown nodes sent. The larger of both is taken.
 */
export const expectedUse = (member: FleetMember, peerUse: Choice['peerUse']): ExpectedUse => {
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

/** Expected memory of an engine with the new request, as a share of what it has. */
export const memoryShare = (
  member: FleetMember,
  need: GenerationNeed,
  engineMemoryTokens: number,
  choice: Choice,
): number => {
  const total = Math.max(1, member.engineLoad?.totalTokens ?? engineMemoryTokens);
  const use = expectedUse(member, choice.peerUse);
  return (use.memoryTokens + need.promptTokens + need.outputTokens) / total;
};

/**
 * Memory that running requests alone are expected to need, as a share of all usable engines. Copies
 * come second: where running requests fill the engines, a copy would make others wait.
 */
export const runningShare = (
  members: readonly FleetMember[],
  engineMemoryTokens: number,
  choice: Choice,
): number => {
  let running = 0;
  let total = 0;
  for (const member of members) {
    if (isUsable(member, choice)) {
      const own = ownUse(member);
      const peers = choice.peerUse(member.upstream.id);
      running += own.memoryTokens - own.copyTokens + peers.memoryTokens - peers.copyTokens;
      total += member.engineLoad?.totalTokens ?? engineMemoryTokens;
    }
  }
  return total === 0 ? 1 : running / total;
};

/** Time for each waiting prompt token at engines whose own isn't known yet, in milliseconds. */
export const typicalMsPerPromptToken = (members: readonly FleetMember[]): number => {
  let sum = 0;
  let known = 0;
  for (const { msPerPromptToken } of members) {
    sum += msPerPromptToken;
    known += msPerPromptToken > 0 ? 1 : 0;
  }
  return known === 0 ? defaultMsPerPromptToken : sum / known;
};

/** Expected wait for the first event: all prompts that wait at the engine are read before. */
export const expectedFirstEventMs = (
  member: FleetMember,
  need: GenerationNeed,
  choice: Choice,
  typicalMs: number,
): number => {
  const perToken = member.msPerPromptToken === 0 ? typicalMs : member.msPerPromptToken;
  const waiting = expectedUse(member, choice.peerUse).promptTokens;
  return (waiting + need.promptTokens) * perToken;
};

/** Expected wait for the first event, with what a crowded engine costs later, in milliseconds. */
export const generationCost = (
  member: FleetMember,
  need: GenerationNeed,
  engineMemoryTokens: number,
  choice: Choice,
  typicalMs: number,
): number => {
  const use = expectedUse(member, choice.peerUse);
  const memory = memoryShare(member, need, engineMemoryTokens, choice);
  const wait = expectedFirstEventMs(member, need, choice, typicalMs);
  const batch = (fullBatchMs * use.requests) / Math.max(1, member.upstream.slots);
  const overflow = overflowMs * Math.max(0, memory - memoryLimitShare);
  const { near } = choice;
  const far = near === undefined || near.dataCentre === member.upstream.dataCentre ? 0 : near.farMs;
  return (
    (wait + batch + far + fullMemoryMs * memory + overflow) *
    (1 + failureWeight * member.failureShare)
  );
};

const least = (
  members: readonly FleetMember[],
  cost: (member: FleetMember) => number,
  random: Random,
): FleetMember | undefined => {
  let lowest = Infinity;
  const costs: (readonly [FleetMember, number])[] = [];
  for (const member of members) {
    const value = cost(member);
    costs.push([member, value]);
    lowest = Math.min(lowest, value);
  }
  const ties: FleetMember[] = [];
  for (const [member, value] of costs) {
    if (value <= lowest * (1 + tieShare)) {
      ties.push(member);
    }
  }
  return ties[Math.floor(random() * ties.length)];
};

/** Load pattern: long generations that fill engine memory as they grow. */
export const placeGeneration = (
  members: readonly FleetMember[],
  need: GenerationNeed,
  engineMemoryTokens: number,
  choice: Choice,
  random: Random,
): FleetMember | undefined => {
  const typicalMs = typicalMsPerPromptToken(members);
  return least(
    members.filter((member) => isUsable(member, choice)),
    (member) => generationCost(member, need, engineMemoryTokens, choice, typicalMs),
    random,
  );
};

/** Load pattern: short calls to a few upstreams of which some are slow or fail in part. */
export const placeCall = (
  members: readonly FleetMember[],
  choice: Choice,
  random: Random,
): FleetMember | undefined => {
  const usable = members.filter((member) => isUsable(member, choice));
  let typicalMs = 0;
  for (const member of usable) {
    typicalMs += member.latencyMs / Math.max(1, usable.length);
  }
  const callCost = (member: FleetMember): number => {
    const running = ownUse(member).requests + choice.peerUse(member.upstream.id).requests;
    const latency = member.latencyMs === 0 ? typicalMs : member.latencyMs;
    return (
      ((running + 1) / Math.max(1, member.upstream.slots)) *
      Math.max(1, latency) *
      (1 + failureWeight * member.failureShare)
    );
  };
  return least(usable, callCost, random);
};
