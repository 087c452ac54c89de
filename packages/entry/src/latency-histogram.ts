import type { Milliseconds } from '@zinniagrade/types';

/** Buckets per doubling of the duration; keeps the error of a quantile below 10%. */
const bucketsPerDoubling = 8;
const bucketCount = 17 * bucketsPerDoubling;

/** Histogram of durations from 1 ms to about two minutes, with logarithmic buckets. */
export interface LatencyHistogram {
  readonly add: (ms: Milliseconds) => void;
  /**
   * Returns the quantile and resets the histogram; `undefined` if nothing was added since the last
   * call.
   */
  readonly collectQuantile: (quantile: number) => Milliseconds | undefined;
}

export const LatencyHistogram = {
  create: (): LatencyHistogram => {
    const counts = new Uint32Array(bucketCount);
    let total = 0;
    return {
      add: (ms) => {
        const bucket = Math.floor(Math.log2(Math.max(1, ms)) * bucketsPerDoubling);
        const index = Math.min(bucketCount - 1, bucket);
        counts[index] = (counts[index] ?? 0) + 1;
        total += 1;
      },
      collectQuantile: (quantile) => {
        if (total === 0) {
          return undefined;
        }
        const rank = Math.ceil(quantile * total);
        let cumulativeCount = 0;
        let found = bucketCount - 1;
        for (const [bucket, count] of counts.entries()) {
          cumulativeCount += count;
          if (cumulativeCount >= rank) {
            found = bucket;
            break;
          }
        }
        counts.fill(0);
        total = 0;
        return 2 ** ((found + 0.5) / bucketsPerDoubling);
      },
    };
  },
};
