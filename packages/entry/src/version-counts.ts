import type { Milliseconds, ServiceId, VersionEvidence, VersionId } from '@zinniagrade/types';
import { betweenTokensBucketBoundsMs, firstTokenBucketBoundsMs } from '@zinniagrade/types';

/** Counts of one version on one route since they were last collected. */
export interface RouteCounts {
  readonly version: VersionId;
  readonly service: ServiceId;
  readonly route: string;
  succeeded: number;
  failed: number;
  readonly firstTokenCounts: number[];
  readonly betweenTokensCounts: number[];
  hasNewCounts: boolean;
}

const emptyBuckets = (bounds: readonly number[]): number[] =>
  Array<number>(bounds.length + 1).fill(0);

export const RouteCounts = {
  create: (version: VersionId, service: ServiceId, route: string): RouteCounts => ({
    version,
    service,
    route,
    succeeded: 0,
    failed: 0,
    firstTokenCounts: emptyBuckets(firstTokenBucketBoundsMs),
    betweenTokensCounts: emptyBuckets(betweenTokensBucketBoundsMs),
    hasNewCounts: false,
  }),
};

const countInBucket = (counts: number[], bounds: readonly number[], ms: Milliseconds): void => {
  let index = 0;
  while (index < bounds.length && ms > (bounds[index] ?? 0)) {
    index += 1;
  }
  counts[index] = (counts[index] ?? 0) + 1;
};

export const countFirstToken = (counts: RouteCounts, ms: Milliseconds): void => {
  counts.hasNewCounts = true;
  countInBucket(counts.firstTokenCounts, firstTokenBucketBoundsMs, ms);
};

export const countBetweenTokens = (counts: RouteCounts, ms: Milliseconds): void => {
  counts.hasNewCounts = true;
  countInBucket(counts.betweenTokensCounts, betweenTokensBucketBoundsMs, ms);
};

/** Returns the counts as evidence and resets them. */
export const collectEvidence = (counts: RouteCounts): VersionEvidence => {
  const { version, service, route, succeeded, failed } = counts;
  const evidence: VersionEvidence = {
    version,
    service,
    route,
    succeeded,
    failed,
    firstTokenCounts: [...counts.firstTokenCounts],
    betweenTokensCounts: [...counts.betweenTokensCounts],
  };
  counts.succeeded = 0;
  counts.failed = 0;
  counts.firstTokenCounts.fill(0);
  counts.betweenTokensCounts.fill(0);
  counts.hasNewCounts = false;
  return evidence;
};
