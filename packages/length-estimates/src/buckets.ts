/** Number of buckets for each doubling of the length. */
const bucketsPerDoubling = 4;
const doublings = 17;

/** Upper bounds of the buckets in tokens, inclusive and ascending. The last bucket is open-ended. */
export const bucketBounds: readonly number[] = Array.from(
  { length: bucketsPerDoubling * doublings },
  (_, index) => Math.ceil(2 ** ((index + 1) / bucketsPerDoubling)),
).filter((bound, index, all) => bound !== all[index - 1]);

export const bucketCount = bucketBounds.length;

/** Index of the bucket for a length of at least one token. */
export const bucketOf = (tokens: number): number => {
  let low = 0;
  let high = bucketCount - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((bucketBounds[middle] ?? 0) >= tokens) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
};

export const upperBound = (bucket: number): number => bucketBounds[bucket] ?? 0;
export const lowerBound = (bucket: number): number => bucketBounds[bucket - 1] ?? 0;
