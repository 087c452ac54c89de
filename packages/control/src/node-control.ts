import type {
  CallAnswer,
  CallForward,
  Incarnation,
  UpstreamUsage,
  NodeId,
  NodeView,
  UpstreamId,
  VersionEvidence,
} from '@zinniagrade/types';

/** What the control plane requires of the data path. */
export interface DataPathReports {
  /** Work in flight, and evidence since the last call, for each upstream that has either. */
  readonly collectInFlight: () => readonly UpstreamUsage[];
  /** Evidence about versions since the last call. */
  readonly collectVersionEvidence: () => readonly VersionEvidence[];
  /** Answers a call that another node forwarded because the call's ticket or claim names this node. */
  readonly answerForward: (forward: CallForward) => Promise<CallAnswer['outcome']>;
  /** Number of requests and streams that a shutdown has to wait for. */
  readonly openRequests: () => number;
}

/** The control plane of a node, as its data path uses it. */
export interface NodeControl {
  /** The current view. Read it for each request; do not keep it. */
  readonly view: () => NodeView;
  /** Incarnation of this process, which its tickets name. */
  readonly processIncarnation: Incarnation;
  /**
   * Forwards a call to the node that its ticket or claim names. `undefined` if that incarnation is
   * gone, can't be reached or does not answer in time: the outcome is then unknown.
   */
  readonly forwardCall: (
    node: NodeId,
    processIncarnation: Incarnation,
    forward: Omit<CallForward, 'kind' | 'correlationId'>,
  ) => Promise<CallAnswer['outcome'] | undefined>;
  /** Tells the other nodes that an upstream has refused work because it is leaving. */
  readonly reportLeavingUpstream: (upstream: UpstreamId) => void;
  /** Announces that the node is leaving, so that its address is no longer given to callers. */
  readonly announceLeaving: () => void;
  readonly close: () => Promise<void>;
}
