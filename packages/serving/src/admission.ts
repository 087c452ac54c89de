import type { Random } from '@zinniagrade/clock';
import type { FleetMember } from './fleet.js';
import type { UrgentRoom } from './peer-demand.js';
import {
  expectedFirstEventMs,
  expectedUse,
  isUsable,
  memoryShare,
  placeGeneration,
  runningMemoryShare,
  typicalMsPerPromptToken,
  type PlacementConstraints,
  type GenerationNeed,
} from './placement.js';

/** Limits under which a new generation is admitted. */
export interface AdmissionLimits {
  /** Share of the memory of all engines that stays free for streams moved from leaving engines. */
  readonly reserveShare: number;
  /** Longest expected time to the first event, in milliseconds. */
  readonly firstEventWithinMs: number;
  /** Memory of all engines that stays free for requests before this one. */
  readonly tokensAhead: number;
  /** Memory for urgent requests that are about to arrive. */
  readonly urgentRoom: UrgentRoom;
}

/** The engine chosen for a new generation, or the reason why it is not admitted. */
export type Admission =
  | { readonly kind: 'placed'; readonly member: FleetMember }
  | { readonly kind: 'no-engine' }
  /**
   * The memory of all engines together falls short by `lackingTokens`; if it would do, none of them
   * has room, and `roomiestEngine` is set.
   */
  | {
      readonly kind: 'no-memory';
      readonly lackingTokens: number;
      readonly roomiestEngine?: string;
    }
  /** Even at the fastest engine the first event would exceed the limit by `lateByMs`. */
  | { readonly kind: 'late'; readonly lateByMs: number };

/** Output lengths are only estimates: an engine above this share may preempt running requests. */
const maxMemoryShare = 1;

const noNeed: GenerationNeed = { promptTokens: 0, outputTokens: 0 };

/** The engine with most free memory, which is the next to have room. */
const roomiestOf = (
  usable: readonly FleetMember[],
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
): string => {
  let lowestShare = Infinity;
  let roomiest = '';
  for (const member of usable) {
    const share = memoryShare(member, noNeed, engineMemoryTokens, constraints);
    if (share < lowestShare) {
      lowestShare = share;
      roomiest = member.upstream.id;
    }
  }
  return roomiest;
};

/**
 * Urgent requests that may wait long would otherwise keep all memory free, and engines idle, as what
 * they need is measured over the time that they may wait.
 */
const maxUrgentShare = 0.25;
/** At most this share of the engines is kept from being filled by less urgent requests. */
const maxKeptEnginesShare = 0.5;

/**
 * Keeps engines on which an urgent request has room from being filled. Free memory that is spread over
 * all engines in parts too small for one such request would be of no use to it.
 */
const leaveUrgentRoom = (
  usable: readonly FleetMember[],
  candidates: readonly FleetMember[],
  need: GenerationNeed,
  urgentRoom: UrgentRoom,
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
): readonly FleetMember[] => {
  if (urgentRoom.tokensEach === 0) {
    return candidates;
  }
  const urgentNeed = { promptTokens: urgentRoom.tokensEach, outputTokens: 0 };
  const bothNeed = { ...need, promptTokens: need.promptTokens + urgentRoom.tokensEach };
  const fits = (member: FleetMember, tokens: GenerationNeed): boolean =>
    memoryShare(member, tokens, engineMemoryTokens, constraints) < maxMemoryShare;
  const roomy = usable.filter((member) => fits(member, urgentNeed)).length;
  const kept = Math.min(
    // Rounded, so that a few engines aren't kept for a request that comes now and then.
    Math.round(urgentRoom.tokens / urgentRoom.tokensEach),
    Math.floor(maxKeptEnginesShare * usable.length),
  );
  return roomy > kept ? candidates : candidates.filter((member) => fits(member, bothNeed));
};

/**
 * Decides whether a generation may start now, and on which engine.
 *
 * This is for more long generations than fit into the memory of the engines, with queued prompts.
 * A generation that starts late delays those queued behind it, and one without enough free memory
 * causes preemption, so neither is admitted. An engine without queued prompts is exempt from the
 * time limit: nobody is delayed there, and its first event updates the estimate of its speed.
 */
export const admitGeneration = (
  members: readonly FleetMember[],
  need: GenerationNeed,
  engineMemoryTokens: number,
  constraints: PlacementConstraints,
  limits: AdmissionLimits,
  random: Random,
): Admission => {
  const usable = members.filter((member) => isUsable(member, constraints));
  if (usable.length === 0) {
    return { kind: 'no-engine' };
  }
  const tokens = need.promptTokens + need.outputTokens;
  const totalTokens = Math.max(1, usable.length * engineMemoryTokens);
  const urgentTokens = Math.min(limits.urgentRoom.tokens, maxUrgentShare * totalTokens);
  const needShare = (tokens + limits.tokensAhead + urgentTokens) / totalTokens;
  const lackingShare =
    runningMemoryShare(usable, engineMemoryTokens, constraints) +
    needShare -
    (1 - limits.reserveShare);
  if (lackingShare > 0) {
    return { kind: 'no-memory', lackingTokens: lackingShare * totalTokens };
  }
  const withFreeMemory = leaveUrgentRoom(
    usable,
    usable.filter(
      (member) => memoryShare(member, need, engineMemoryTokens, constraints) < maxMemoryShare,
    ),
    need,
    limits.urgentRoom,
    engineMemoryTokens,
    constraints,
  );
  if (withFreeMemory.length === 0) {
    const roomiest = roomiestOf(usable, engineMemoryTokens, constraints);
    return { kind: 'no-memory', lackingTokens: 0, roomiestEngine: roomiest };
  }
  const typicalMsPerToken = typicalMsPerPromptToken(members);
  let earliestMs = Infinity;
  const timely: FleetMember[] = [];
  for (const member of withFreeMemory) {
    const expectedMs = expectedFirstEventMs(member, need, constraints, typicalMsPerToken);
    earliestMs = Math.min(earliestMs, expectedMs);
    const isIdle = expectedUse(member, constraints.peerUse).promptTokens === 0;
    if (isIdle || expectedMs <= limits.firstEventWithinMs) {
      timely.push(member);
    }
  }
  const member = placeGeneration(timely, need, engineMemoryTokens, constraints, random);
  return member === undefined
    ? { kind: 'late', lateByMs: earliestMs - limits.firstEventWithinMs }
    : { kind: 'placed', member };
};
