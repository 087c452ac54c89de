import type { Milliseconds, ServiceId, VersionEvidence, VersionId } from '@zinniagrade/types';
import { betweenTokensBucketBoundsMs, firstTokenBucketBoundsMs } from '@zinniagrade/types';

/** Counts of one version on one route since they were last taken. */
export interface RouteCounts {
  readonly version: VersionId;
  readonly service: ServiceId;
  readonly route: string;
  succeeded: number;
  failed: number;
  readonly firstToken: number[];
  readonly betweenTokens: number[];
  touched: boolean;
}

const zeros = (bounds: readonly number[]): number[] => Array<number>(bounds.length + 1).fill(0);

export const RouteCounts = {
  create: (version: VersionId, service: ServiceId, route: string): RouteCounts => ({
    version,
    service,
    route,
    succeeded: 0,
    failed: 0,
    firstToken: zeros(firstTokenBucketBoundsMs),
    betweenTokens: zeros(betweenTokensBucketBoundsMs),
    touched: false,
  }),
};

const countIn = (counts: number[], bounds: readonly number[], ms: Milliseconds): void => {
  let index = 0;
  while (index < bounds.length && ms > (bounds[index] ?? 0)) {
    index += 1;
  }
  counts[index] = (counts[index] ?? 0) + 1;
};

export const countFirstToken = (counts: RouteCounts, ms: Milliseconds): void => {
  counts.touched = true;
  countIn(counts.firstToken, firstTokenBucketBoundsMs, ms);
};

export const countBetweenTokens = (counts: RouteCounts, ms: Milliseconds): void => {
  counts.touched = true;
  countIn(counts.betweenTokens, betweenTokensBucketBoundsMs, ms);
};

/** The counts as evidence; they begin again at zero. */
export const takeEvidence = (counts: RouteCounts): VersionEvidence => {
  const { version, service, route, succeeded, failed } = counts;
  const evidence: VersionEvidence = {
    version,
    service,
    route,
    succeeded,
    failed,
    firstTokenCounts: [...counts.firstToken],
    betweenTokensCounts: [...counts.betweenTokens],
  };
  counts.succeeded = 0;
  counts.failed = 0;
  counts.firstToken.fill(0);
  counts.betweenTokens.fill(0);
  counts.touched = false;
  return evidence;
};
