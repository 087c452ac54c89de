import type { Configuration } from './configuration.js';
import type { ErrorKind } from './error-kind.js';
import type { DataCentreId, MoveId, UpstreamId } from './ids.js';
import type { LoadReport, OtherNodesUsage } from './load.js';
import type { Member } from './member.js';

/** A limit granted to this node. */
export interface HeldLimit {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly warm: boolean;
  /** Use by the other nodes when the limit was granted. */
  readonly others?: OtherNodesUsage;
  /** Expiry on the node's own monotonic clock. */
  readonly lapsesAt: number;
}

/** The share of a move that was granted to this node. */
export interface HeldShare {
  readonly share: number;
  /** Expiry on the node's own monotonic clock. */
  readonly lapsesAt: number;
}

/** Immutable snapshot that a node's control plane publishes to its data path on each change. */
export interface NodeView {
  readonly configuration: Configuration;
  readonly members: readonly Member[];
  /** Data centres that are withdrawn in the configuration or provisionally. */
  readonly withdrawnDataCentres: ReadonlySet<DataCentreId>;
  /** Upstreams that are leaving according to the configuration, the VM list or a refusal. */
  readonly leavingUpstreams: ReadonlySet<UpstreamId>;
  readonly limits: ReadonlyMap<UpstreamId, HeldLimit>;
  readonly loadReports: ReadonlyMap<UpstreamId, LoadReport>;
  readonly moveShares: ReadonlyMap<MoveId, HeldShare>;
  /** Why the node refuses new work; absent while it accepts work. */
  readonly refusesNewWork?: Extract<ErrorKind, 'leaving' | 'isolated'>;
}
