import type { Milliseconds, UpstreamId, VersionId } from './ids.js';

/** Load as reported by the upstream itself; it lags behind the actual load. */
export interface LoadReport {
  readonly sequence: number;
  /** On the upstream's clock. */
  readonly at: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  readonly memoryTokensUsed: number;
  readonly memoryTokensTotal: number;
  /** Number of preemptions since the upstream started. */
  readonly preemptions: number;
  readonly warm: boolean;
  readonly version: VersionId;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  /** Hash of a block of a prompt prefix. */
  readonly prefix: string;
}

/** One node's use of one upstream: its work in flight, its unmet demand and its recent results. */
export interface UpstreamUsage {
  readonly upstream: UpstreamId;
  readonly requests: number;
  /** Expected peak memory of the requests in flight. */
  readonly memoryTokens: number;
  /** Requests that the node would send if its limit allowed it. */
  readonly wantedRequests: number;
  readonly wantedMemoryTokens: number;
  /** Requests that ended since the last report; the upstream's owner paces its ramp by them. */
  readonly completed: number;
  readonly failed: number;
  /** 95th percentiles over the requests since the last report; absent if there were none. */
  readonly firstTokenMs?: Milliseconds;
  readonly betweenTokensMs?: Milliseconds;
  /** Whether the last limit from an owner called the upstream warm; a new owner starts from it. */
  readonly warm?: boolean;
}

/** What a node may have in flight on one upstream until the limit expires. */
export interface UpstreamLimit {
  readonly upstream: UpstreamId;
  readonly slots: number;
  readonly memoryTokens: number;
  /** Validity of the limit, counted from when the demand was sent. */
  readonly validMs: Milliseconds;
  readonly warm: boolean;
  /** Use by the other nodes when the limit was granted, to choose the least loaded upstream. */
  readonly others?: OtherNodesUsage;
}

/** Work that the other nodes have in flight on an upstream, as far as its owner knows. */
export interface OtherNodesUsage {
  readonly requests: number;
  readonly memoryTokens: number;
}
