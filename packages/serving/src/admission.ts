import type { Random } from '@zinniagrade/clock';
import type { FleetMember } from './fleet.js';
import {
  expectedFirstEventMs,
  expectedUse,
  isUsable,
  memoryShare,
  placeGeneration,
  runningShare,
  typicalMsPerPromptToken,
  type Choice,
  type GenerationNeed,
} from './placement.js';

/** What a new generation has to leave to others, and by when it has to begin. */
export interface AdmissionLimits {
  /** Share of all engines' memory that stays free for streams of engines that leave. */
  readonly reserveShare: number;
  /** Time until its first event is late. */
  readonly firstEventWithinMs: number;
}

/** Where a new generation goes, or why nowhere. */
export type Admission =
  | { readonly kind: 'placed'; readonly member: FleetMember }
  | { readonly kind: 'no-engine' }
  | { readonly kind: 'no-memory' }
  /** The first event would be late by this time at the best engine. */
  | { readonly kind: 'late'; readonly lateByMs: number };

/** Engines fuller than this preempt requests, as lengths are only estimates. */
const maxFilledShare = 1;

/**
 * Load pattern: more long generations than the engines have memory for, with prompts that queue.
 * A generation that would begin late only delays those behind it, and one without memory preempts
 * others, so neither is begun. Where nothing waits, nobody is delayed, and the answer shows how fast
 * the engine is now.
 */
export const admitGeneration = (
  members: readonly FleetMember[],
  need: GenerationNeed,
  engineMemoryTokens: number,
  choice: Choice,
  limits: AdmissionLimits,
  random: Random,
): Admission => {
  const usable = members.filter((member) => isUsable(member, choice));
  if (usable.length === 0) {
    return { kind: 'no-engine' };
  }
  const tokens = need.promptTokens + need.outputTokens;
  const needShare = tokens / Math.max(1, usable.length * engineMemoryTokens);
  if (runningShare(usable, engineMemoryTokens, choice) + needShare > 1 - limits.reserveShare) {
    return { kind: 'no-memory' };
  }
  const roomy = usable.filter(
    (member) => memoryShare(member, need, engineMemoryTokens, choice) < maxFilledShare,
  );
  if (roomy.length === 0) {
    return { kind: 'no-memory' };
  }
  const typicalMs = typicalMsPerPromptToken(members);
  let earliestMs = Infinity;
  const timely: FleetMember[] = [];
  for (const member of roomy) {
    const expectedMs = expectedFirstEventMs(member, need, choice, typicalMs);
    earliestMs = Math.min(earliestMs, expectedMs);
    const isIdle = expectedUse(member, choice.peerUse).promptTokens === 0;
    if (isIdle || expectedMs <= limits.firstEventWithinMs) {
      timely.push(member);
    }
  }
  const member = placeGeneration(timely, need, engineMemoryTokens, choice, random);
  return member === undefined
    ? { kind: 'late', lateByMs: earliestMs - limits.firstEventWithinMs }
    : { kind: 'placed', member };
};
