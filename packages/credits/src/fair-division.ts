/** One party's claim to a part of the capacity. */
export interface Claim {
  readonly id: string;
  readonly need: number;
  /** Remaining whole units go to the lowest ranks first. */
  readonly rank: number;
}

/** The level L at which the sum of min(need, L) equals the capacity; infinite if all needs fit. */
const waterLevel = (capacity: number, claims: readonly Claim[]): number => {
  if (claims.reduce((sum, { need }) => sum + need, 0) <= capacity) {
    return Number.POSITIVE_INFINITY;
  }
  const needs = claims.map((claim) => claim.need).sort((a, b) => a - b);
  let remaining = capacity;
  for (const [index, need] of needs.entries()) {
    const level = remaining / (needs.length - index);
    if (need > level) {
      return level;
    }
    remaining -= need;
  }
  return Number.POSITIVE_INFINITY;
};

/**
 * Divides the capacity max-min fairly in whole units. With `spreadRemainder`, what remains after
 * all needs are met is spread evenly as headroom. The allocations never add up to more than the
 * capacity.
 */
export const divideFairly = (
  capacity: number,
  claims: readonly Claim[],
  spreadRemainder: boolean,
): ReadonlyMap<string, number> => {
  const allocations = new Map<string, number>();
  const level = waterLevel(capacity, claims);
  let remaining = Math.max(0, Math.floor(capacity));
  for (const claim of claims) {
    const allocation = Math.max(0, Math.floor(Math.min(claim.need, level)));
    allocations.set(claim.id, allocation);
    remaining -= allocation;
  }
  const ranked = [...claims].sort((a, b) => a.rank - b.rank);
  for (const claim of ranked) {
    const allocation = allocations.get(claim.id) ?? 0;
    if (remaining > 0 && allocation < claim.need) {
      const extra = Math.min(remaining, 1);
      allocations.set(claim.id, allocation + extra);
      remaining -= extra;
    }
  }
  if (spreadRemainder && remaining > 0 && claims.length > 0) {
    const each = Math.floor(remaining / claims.length);
    let remainder = remaining - each * claims.length;
    for (const claim of ranked) {
      allocations.set(claim.id, (allocations.get(claim.id) ?? 0) + each + (remainder > 0 ? 1 : 0));
      remainder -= 1;
    }
  }
  return allocations;
};
