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

/** What the control part asks of the data path. */
export interface DataPathReports {
  /** Work in flight and evidence since the last call, for each upstream with any of either. */
  readonly takeInFlight: () => readonly UpstreamUsage[];
  /** Evidence about versions since the last call. */
  readonly takeVersionEvidence: () => readonly VersionEvidence[];
  /** Answers a call that another node forwards because its ticket or claim names this node. */
  readonly answerForward: (forward: CallForward) => Promise<CallAnswer['outcome']>;
  /** Requests and streams that a shutdown has to wait for. */
  readonly openRequests: () => number;
}

/** The control part of a node, as its data path sees it. */
export interface NodeControl {
  /** The present view; read it for each request and do not keep it. */
  readonly view: () => NodeView;
  /** Membership identity that tickets of this process name. */
  readonly processIncarnation: Incarnation;
  /**
   * Passes a call to the node whose ticket or claim it carries. `undefined` when that incarnation is
   * gone, is not reached, or does not answer in time: the outcome is then not known.
   */
  readonly forwardCall: (
    node: NodeId,
    processIncarnation: Incarnation,
    forward: Omit<CallForward, 'kind' | 'correlationId'>,
  ) => Promise<CallAnswer['outcome'] | undefined>;
  /** Tells the other nodes of an upstream that has refused work because it leaves. */
  readonly reportLeavingUpstream: (upstream: UpstreamId) => void;
  /** Announces that the node leaves; the view then drops it from the members to hand out. */
  readonly announceLeaving: () => void;
  readonly close: () => Promise<void>;
}
