import type { CommittedChangeSet, Configuration, ProvisionalWithdrawal } from './configuration.js';
import type { ErrorKind, ExecutionStatus } from './error-kind.js';
import type { ClientAccountId, Milliseconds, NodeId, Revision, ServiceId } from './ids.js';
import type { UpstreamUsage, UpstreamLimit } from './load.js';
import type { Member } from './member.js';
import type { MoveReport, MoveShare, VersionEvidence } from './move-evidence.js';

export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly incarnation: number;
  readonly revision: Revision;
  /** Highest revision that the sender knows to exist, if it does not have that revision yet. */
  readonly newestRevision?: Revision;
  /** Time since any watcher last confirmed the store's head, as far as the sender knows. */
  readonly confirmationAgeMs: Milliseconds;
  /** Hash of the sender's member table; a lasting difference starts an exchange of members. */
  readonly membersHash: string;
  /** Sender's wall clock; adds the time that the message spent on a stalled link to the age. */
  readonly sentAt?: Milliseconds;
  /**
   * Members of the sender's region that it has heard from, directly or through other members. Each
   * takes 3 bytes: 16 bits of hash and the age in units of 20 ms. Sent only while the confirmation
   * is not recent.
   */
  readonly heard?: Uint8Array;
}

export interface MemberUpdate {
  readonly kind: 'member-update';
  readonly members: readonly Member[];
  /** True if the sender asks for members in return: all or, with `buckets`, those that differ. */
  readonly exchange?: boolean;
  /** Hash of each bucket of the sender's table; the reply holds the buckets that differ. */
  readonly buckets?: readonly number[];
}

export interface ConfigurationChange {
  readonly kind: 'configuration-change';
  readonly changes: readonly CommittedChangeSet[];
}

export interface ConfigurationPull {
  readonly kind: 'configuration-pull';
  readonly haveRevision: Revision;
}

/** One part of a whole configuration, which is split so that each part fits into one frame. */
export interface ConfigurationState {
  readonly kind: 'configuration-state';
  readonly revision: Revision;
  readonly part: number;
  readonly parts: number;
  readonly fragment: Partial<Omit<Configuration, 'revision'>>;
}

export interface ProvisionalWithdrawalMessage {
  readonly kind: 'provisional-withdrawal';
  readonly withdrawal: ProvisionalWithdrawal;
  /** True if the store has accepted the withdrawal or an operator has taken it back. */
  readonly settled: boolean;
  /** Revision at which the store accepted it; the withdrawal stays in force up to that revision. */
  readonly revision?: Revision;
}

export interface CreditDemand {
  readonly kind: 'credit-demand';
  /** Echoed in the grant, so that the sender can determine the grant's age on its own clock. */
  readonly sequence: number;
  /** The sender ignores grants for demands with a lower sequence. */
  readonly oldestUsable?: number;
  readonly inFlight: readonly UpstreamUsage[];
}

export interface CreditGrant {
  readonly kind: 'credit-grant';
  readonly sequence: number;
  readonly limits: readonly UpstreamLimit[];
}

/** A call that only the receiver may run, because the call's ticket or claim names it. */
export interface CallForward {
  readonly kind: 'call-forward';
  readonly correlationId: string;
  readonly clientAccount: ClientAccountId;
  readonly service: ServiceId;
  readonly idempotencyKey: string;
  readonly operation: string;
  readonly arguments: unknown;
}

export interface CallAnswer {
  readonly kind: 'call-answer';
  readonly correlationId: string;
  readonly outcome:
    | { readonly ok: true; readonly result: unknown }
    | {
        readonly ok: false;
        readonly error: ErrorKind;
        readonly ran: ExecutionStatus;
        readonly detail: string;
      };
}

export interface MoveEvidenceMessage {
  readonly kind: 'move-evidence';
  readonly evidence: readonly VersionEvidence[];
  readonly reports?: readonly MoveReport[];
}

export interface MoveGrant {
  readonly kind: 'move-grant';
  readonly shares: readonly MoveShare[];
}

/** State of a host in the VM list, distributed by the nodes that read the list. */
export interface VmNotice {
  readonly host: string;
  readonly state: 'live' | 'leaving';
  /** When the list was read, on that node's wall clock; a later notice replaces an earlier one. */
  readonly at: Milliseconds;
}

export interface VmNotices {
  readonly kind: 'vm-notices';
  readonly notices: readonly VmNotice[];
}

export type NodeMessage =
  | Heartbeat
  | MemberUpdate
  | ConfigurationChange
  | ConfigurationPull
  | ConfigurationState
  | ProvisionalWithdrawalMessage
  | CreditDemand
  | CreditGrant
  | CallForward
  | CallAnswer
  | MoveEvidenceMessage
  | MoveGrant
  | VmNotices;

/** A message and the node that it is sent to. */
export interface AddressedMessage {
  readonly node: NodeId;
  readonly message: NodeMessage;
}
