import type { UpstreamId } from '@zinniagrade/types';

/** Requests that one node has in flight, by upstream. The naive policy has no other measure of load. */
export type InFlightCounts = ReadonlyMap<UpstreamId, number>;

/** Maximum number of retries of a failed request, whatever the failure was. */
export const maxRetries = 3;
/** Maximum time that a request waits in the queue of the node. */
export const maxQueueWaitMs = 10_000;

/** The share of an upstream's slots that each node may use, whether the upstream is cold or warm. */
export const fixedConcurrency = (slots: number, nodes: number): number =>
  Math.max(1, Math.floor(slots / nodes));

/**
 * The upstream with the fewest requests in flight from this node, below the given concurrency;
 * `undefined` if all are at the limit. Ties go to the first upstream after a random start.
 */
export const leastConnections = (
  upstreams: readonly UpstreamId[],
  counts: InFlightCounts,
  concurrency: number,
  random: () => number,
): UpstreamId | undefined => {
  const start = Math.floor(random() * upstreams.length);
  let best: UpstreamId | undefined;
  let least = concurrency;
  for (let offset = 0; offset < upstreams.length; offset += 1) {
    const upstream = upstreams[(start + offset) % upstreams.length];
    const count = upstream === undefined ? least : (counts.get(upstream) ?? 0);
    if (upstream !== undefined && count < least) {
      best = upstream;
      least = count;
    }
  }
  return best;
};

/** Whether to retry after a failure. Every failure is retried, even if the request may have run. */
export const shouldRetry = (attempts: number): boolean => attempts <= maxRetries;
