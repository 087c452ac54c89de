import type { Random } from '@zinniagrade/clock';
import type { FleetMember } from './fleet.js';

/** What one generation is expected to need of an engine. */
export interface GenerationNeed {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Limits on the choice of an upstream. */
export interface Choice {
  readonly nowMs: number;
  /** Upstreams that have already had this request. */
  readonly excluded: ReadonlySet<string>;
  /** Data centres that get no new work. */
  readonly withdrawn: ReadonlySet<string>;
  /** Whether traffic may go to an upstream of this version. */
  readonly allows: (member: FleetMember) => boolean;
}

/** Reports describe the engine as it was this long before it was asked. */
const reportLagMs = 500;
/** Engines with less free memory than this share count as full: batches grow with each token. */
const memoryReserve = 0.06;
/** Weight of a full batch against full memory: a larger batch only slows each token down. */
const batchWeight = 0.6;
/** Prompts not read yet delay the first event of the next request. */
const waitingWeight = 0.15;
/** A smoothed share of failures counts as this many times the load. */
const failureWeight = 8;
/** Load differences below this share are decided at random, so that nodes don't all choose alike. */
const tieShare = 0.04;

/** Whether new work may go to the upstream at all. */
export const isUsable = (member: FleetMember, choice: Choice): boolean =>
  !member.leaving &&
  member.goneAtMs === undefined &&
  member.avoidUntilMs <= choice.nowMs &&
  !choice.excluded.has(member.upstream.id) &&
  !choice.withdrawn.has(member.upstream.dataCentre) &&
  choice.allows(member);

/** Expected use of an engine, with the own requests that its last report can't contain yet. */
export interface EngineUse {
  readonly tokens: number;
  readonly requests: number;
  readonly waiting: number;
}

export const engineUse = (member: FleetMember): EngineUse => {
  const { engineLoad: load } = member;
  if (load === undefined) {
    let tokens = 0;
    for (const run of member.ownRuns.values()) {
      tokens += run.expectedTokens;
    }
    return { tokens, requests: member.ownRuns.size, waiting: 0 };
  }
  const reported = new Set(load.runs.map((run) => run.requestId));
  const reportedOf = new Map(load.runs.map((run) => [run.requestId, run.memoryTokens]));
  let tokens = load.usedTokens;
  let requests = load.running + load.waiting;
  for (const run of member.ownRuns.values()) {
    if (reported.has(run.requestId)) {
      tokens += Math.max(0, run.expectedTokens - (reportedOf.get(run.requestId) ?? 0));
    } else if (run.sentAtMs > member.engineLoadAtMs - reportLagMs) {
      tokens += run.expectedTokens;
      requests += 1;
    }
  }
  return { tokens, requests, waiting: load.waiting };
};

/** Load of an engine from 0 (idle) up, with the new request. */
const enginePressure = (member: FleetMember, need: GenerationNeed, memoryTokens: number): number => {
  const use = engineUse(member);
  const total = member.engineLoad?.totalTokens ?? memoryTokens;
  const memory = (use.tokens + need.promptTokens + need.outputTokens) / Math.max(1, total);
  const batch = (use.requests + 1) / Math.max(1, member.upstream.slots);
  return (
    (memory + batchWeight * batch + waitingWeight * use.waiting) *
    (1 + failureWeight * member.failureShare)
  );
};

/** Whether the memory of the engine bears the request to its expected end. */
export const fitsEngine = (
  member: FleetMember,
  need: GenerationNeed,
  memoryTokens: number,
): boolean => {
  const use = engineUse(member);
  const total = member.engineLoad?.totalTokens ?? memoryTokens;
  return (
    use.tokens + need.promptTokens + need.outputTokens <= total * (1 - memoryReserve) &&
    use.requests < member.upstream.slots
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
  memoryTokens: number,
  choice: Choice,
  random: Random,
): FleetMember | undefined =>
  least(
    members.filter((member) => isUsable(member, choice)),
    (member) => enginePressure(member, need, memoryTokens),
    random,
  );

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
    const running = Math.max(member.ownRuns.size, member.serviceLoad?.running ?? 0);
    const waiting = member.serviceLoad?.waiting ?? 0;
    const latency = member.latencyMs === 0 ? typicalMs : member.latencyMs;
    return (
      ((running + waiting + 1) / Math.max(1, member.upstream.slots)) *
      Math.max(1, latency) *
      (1 + failureWeight * member.failureShare)
    );
  };
  return least(usable, callCost, random);
};
