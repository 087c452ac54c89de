import type {
  AddressedMessage,
  CreditDemand,
  LoadReport,
  Milliseconds,
  NodeId,
  Upstream,
  UpstreamId,
} from '@zinniagrade/types';
import type { LatencyMedians, Ramp } from './ramp.js';

/** Assignment of an upstream to its owner, with the key under which its latencies are learned. */
export interface UpstreamOwnership {
  readonly upstream: Upstream;
  /** The model that the upstream serves, or the service itself for a plain service. */
  readonly latencyKey: string;
}

/** A limit that was sent to a node, which may still use it or may have used it. */
export interface SentLimit {
  readonly sequence: number;
  readonly slots: number;
  readonly memoryTokens: number;
}

/** Usage of one upstream by one node, as the owner knows it. */
export interface NodeUsage {
  readonly lastDemandAt: Milliseconds;
  readonly sequence: number;
  readonly requests: number;
  readonly memoryTokens: number;
  readonly wantedRequests: number;
  readonly wantedMemoryTokens: number;
  readonly sentLimits: readonly SentLimit[];
  /**
   * Set for the work of an earlier process of the node, which is kept until load reports account
   * for it.
   */
  readonly isFormerProcess?: boolean;
}

export interface OwnedUpstream extends UpstreamOwnership {
  readonly ownedSince: Milliseconds;
  readonly lastReportAt: Milliseconds;
  readonly ramp: Ramp;
  /** False until the takeover has ended and the initial capacity has been chosen. */
  readonly mayGrant: boolean;
  /** Whether any node has reported the upstream as warm, or as cold, during the takeover. */
  readonly nodesReportedWarm: boolean;
  readonly nodesReportedCold: boolean;
  /**
   * Upper bound of the requests in flight that no reporting node accounts for: those of nodes that
   * fell silent, and those from before the takeover. Such requests only end, so the lowest bound so
   * far holds.
   */
  readonly unattributedRequests: number;
  /** Requests in flight by the nodes' own reports, at each of the last load reports; newest last. */
  readonly attributedSamples: readonly number[];
  /** Requests in each of the last load reports beyond those that the nodes reported; newest last. */
  readonly unattributedSamples: readonly number[];
  readonly usageByNode: Readonly<Record<NodeId, NodeUsage>>;
}

export interface CreditOwnerState {
  readonly nodeId: NodeId;
  readonly owned: Readonly<Record<UpstreamId, OwnedUpstream>>;
  /** Nodes of the region that are alive or suspect, including this one. */
  readonly regionNodes: readonly NodeId[];
  readonly latencyMedians: Readonly<Record<string, LatencyMedians>>;
  readonly lastTickAt: Milliseconds;
  readonly lastPollAt: Milliseconds;
}

/**
 * Input of the owner's state machine; each event comes with the current time of the node's
 * monotonic clock.
 */
export type CreditOwnerEvent =
  | {
      /** Sets the upstreams that this node owns, after a change of members or configuration. */
      readonly kind: 'ownership';
      readonly owned: readonly UpstreamOwnership[];
      readonly regionNodes: readonly NodeId[];
    }
  | { readonly kind: 'load-report'; readonly upstream: UpstreamId; readonly report: LoadReport }
  | { readonly kind: 'demand'; readonly node: NodeId; readonly demand: CreditDemand }
  /** Due at least every 250 ms; a missing tick shows that the process was frozen. */
  | { readonly kind: 'tick' }
  /** The node was isolated or frozen, so every takeover starts again. */
  | { readonly kind: 'restart' };

export type CreditOwnerAction =
  | { readonly kind: 'send'; readonly to: AddressedMessage }
  | { readonly kind: 'poll-load'; readonly upstream: UpstreamId }
  | {
      readonly kind: 'capacity-changed';
      readonly upstream: UpstreamId;
      readonly slots: number;
      readonly warm: boolean;
    };

export interface CreditOwnerStep {
  readonly state: CreditOwnerState;
  readonly actions: readonly CreditOwnerAction[];
}
