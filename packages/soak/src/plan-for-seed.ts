import { Random } from '@zinniagrade/clock';
import { planFaults, planStatementFaults, type Fault } from './fault-plan.js';
import { planHostileCallers, planHostileWorkers } from './hostile-fault-plan.js';
import { planStartFaults } from './start-fault-plan.js';

/** Faults that are drawn together, from random numbers of their own. */
export type FaultGroup = (typeof faultGroups)[number];

export const faultGroups = ['mixed', 'starts', 'callers', 'workers'] as const;

export interface SeedPlanOptions {
  readonly gatewayCount: number;
  readonly workerCount: number;
  /** All faults begin within this period. */
  readonly faultPeriodMs: number;
  readonly graceMs: number;
}

/** Spreads the seeds: adjacent seeds of `Random` begin with nearly the same numbers. */
export const seedStride = 0x9e3779b1;

/**
 * Hostile callers come alone as well, as their check needs time without other faults; starts come
 * alone as well, so that a violation is easily traced to its cause.
 */
const groupSets: readonly (readonly FaultGroup[])[] = [
  ['mixed', 'starts'],
  ['starts'],
  ['callers'],
  faultGroups,
];

/** Groups of faults of a seed for which none are named. */
export const groupsOfSeed = (seed: number): readonly FaultGroup[] =>
  groupSets[seed % groupSets.length] ?? faultGroups;

/**
 * Draws the faults of a seed. Each group has random numbers of its own, so that a seed gives the
 * same faults of a group whichever other groups there are.
 */
export const planForSeed = (
  seed: number,
  groups: readonly FaultGroup[],
  options: SeedPlanOptions,
): readonly Fault[] => {
  const randomSeed = Math.imul(seed, seedStride);
  const randomOf = (stream: number): Random => Random.create(randomSeed + stream * seedStride);
  const planners: Readonly<Record<FaultGroup, () => readonly Fault[]>> = {
    mixed: () => [
      ...planFaults(randomOf(0), options),
      ...planStatementFaults(randomOf(2), options),
    ],
    starts: () => planStartFaults(randomOf(3), options),
    callers: () => planHostileCallers(randomOf(4), options),
    workers: () => planHostileWorkers(randomOf(5), options),
  };
  return groups.flatMap((group) => planners[group]());
};
