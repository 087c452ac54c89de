import type { Milliseconds } from '@zinniagrade/types';

export const permitLeaseMs: Milliseconds = 30_000;
/** Delay before all permits are tried again. */
export const permitRetryDelayMs: Milliseconds = 1000;

export const permitKey = (permit: number): string => `weight-loads/${permit}`;

/**
 * Number of concurrent loads that keeps the weight store within its rate: as many loads as may start
 * while one load runs.
 */
export const permitCount = (transfersPerSecond: number, loadMs: Milliseconds): number =>
  Math.max(1, Math.floor((transfersPerSecond * loadMs) / 1000));

/** Sequence in which a process tries the permits; starts at a random one to avoid races. */
export const permitSequence = (permits: number, random: () => number): readonly number[] => {
  const first = Math.floor(random() * permits);
  return Array.from({ length: permits }, (_, index) => (first + index) % permits);
};
