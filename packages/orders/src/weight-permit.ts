import type { Milliseconds } from '@zinniagrade/types';

export const permitLeaseMs: Milliseconds = 30_000;
/** Time until all permits are tried again. */
export const permitRetryDelayMs: Milliseconds = 1000;

export const permitKey = (permit: number): string => `weight-loads/${permit}`;

/**
 * Loads at once that keep the weight store within its rate: as many as begin during one load.
 * The rate is in transfers a second.
 */
export const permitCount = (transfersPerSecond: number, loadMs: Milliseconds): number =>
  Math.max(1, Math.floor((transfersPerSecond * loadMs) / 1000));

/** The order in which a process tries the permits; it starts at a random one to avoid races. */
export const permitSequence = (permits: number, random: () => number): readonly number[] => {
  const first = Math.floor(random() * permits);
  return Array.from({ length: permits }, (_, index) => (first + index) % permits);
};
