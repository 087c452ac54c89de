import {
  type CommittedChangeSet,
  type Configuration,
  type ConfigurationState,
  type Milliseconds,
  type NodeId,
  type NodeMessage,
  type ProvisionalWithdrawal,
  type Revision,
  emptyConfiguration,
} from '@zinniagrade/types';
import { applyLog } from './apply-changes.js';
import { type Head, maxLogLength } from './head.js';
import {
  type ProvisionalWithdrawals,
  noProvisionalWithdrawals,
  settleWithdrawal,
} from './provisional-withdrawals.js';

/**
 * Maximum size of the change sets in one message, as JSON. CBOR is no larger; a frame holds 256 KB.
 */
const maxMessageBytes = 160 * 1024;

/** Parts received so far of a newer configuration. */
interface PartialConfiguration {
  readonly revision: Revision;
  readonly parts: Readonly<Record<number, ConfigurationState['fragment']>>;
}

/** A node's replica of the configuration. Its revision never decreases. */
export interface ReplicaState {
  readonly configuration: Configuration;
  /**
   * The latest change sets up to the configuration's revision, without gaps, for nodes that are
   * behind.
   */
  readonly log: readonly CommittedChangeSet[];
  /** Latest local monotonic time at which the store is known to have had no newer head. */
  readonly confirmedAt: Milliseconds | undefined;
  readonly provisionalWithdrawals: ProvisionalWithdrawals;
  /** Highest revision that another node has reported. */
  readonly highestKnownRevision: Revision;
  readonly lastPullAt: Milliseconds;
  readonly partialConfiguration: PartialConfiguration | undefined;
}

export type ReplicaEvent =
  /**
   * A head from the store, which had no newer one at `readAt`, for example when the read was sent.
   */
  | { readonly kind: 'head'; readonly head: Head; readonly readAt: Milliseconds }
  | {
      readonly kind: 'stored';
      readonly configuration: Configuration;
      readonly head: Head;
      readonly readAt: Milliseconds;
    }
  /** A watch found that the store had no newer head than `revision` at `readAt`. */
  | { readonly kind: 'unchanged'; readonly revision: Revision; readonly readAt: Milliseconds }
  | {
      readonly kind: 'heartbeat';
      readonly from: NodeId;
      readonly revision: Revision;
      /** Highest revision that the sender knows of. */
      readonly newestRevision: Revision;
      /** The sender's `confirmedAt`, converted to this node's clock; `undefined` if it has none. */
      readonly confirmedAt: Milliseconds | undefined;
    }
  | { readonly kind: 'message'; readonly from: NodeId; readonly message: ReplicaMessage }
  | { readonly kind: 'link-up'; readonly from: NodeId }
  | { readonly kind: 'frozen' };

export type ReplicaMessage = Extract<
  NodeMessage,
  {
    kind:
      | 'configuration-change'
      | 'configuration-pull'
      | 'configuration-state'
      | 'provisional-withdrawal';
  }
>;

export type ReplicaAction =
  | { readonly kind: 'send'; readonly to: NodeId; readonly message: ReplicaMessage }
  /** Send to every neighbour except `except`. */
  | { readonly kind: 'flood'; readonly message: ReplicaMessage; readonly except?: NodeId }
  | { readonly kind: 'adopted'; readonly before: Revision; readonly configuration: Configuration }
  /**
   * Read the whole configuration: the log in the head does not reach back to this node's revision.
   */
  | { readonly kind: 'read-store' }
  | { readonly kind: 'withdrawn-provisionally'; readonly withdrawal: ProvisionalWithdrawal };

export interface ReplicaStep {
  readonly state: ReplicaState;
  readonly actions: readonly ReplicaAction[];
}

export const ReplicaState = {
  create: (): ReplicaState => ({
    configuration: emptyConfiguration,
    log: [],
    confirmedAt: undefined,
    provisionalWithdrawals: noProvisionalWithdrawals,
    highestKnownRevision: 0,
    lastPullAt: -Infinity,
    partialConfiguration: undefined,
  }),
};

/**
 * Whether another node has reported a newer revision. A node that is behind and has no recent
 * confirmation must not take work, even if it receives messages from a majority: after a partition
 * heals, heartbeats arrive before the changes that the node missed.
 */
export const isBehind = ({ configuration, highestKnownRevision }: ReplicaState): boolean =>
  highestKnownRevision > configuration.revision;

export const withoutActions = (state: ReplicaState): ReplicaStep => ({ state, actions: [] });

export const andThen = (
  step: ReplicaStep,
  next: (state: ReplicaState) => ReplicaStep,
): ReplicaStep => {
  const { state, actions } = next(step.state);
  return { state, actions: [...step.actions, ...actions] };
};

export const withConfirmation = (state: ReplicaState, at: Milliseconds): ReplicaState =>
  at > (state.confirmedAt ?? -Infinity) ? { ...state, confirmedAt: at } : state;

/** Splits change sets into messages that each fit in a frame. */
export const changeMessages = (log: readonly CommittedChangeSet[]): readonly ReplicaMessage[] => {
  const messages: CommittedChangeSet[][] = [];
  let bytes = Infinity;
  for (const entry of log) {
    const size = JSON.stringify(entry).length;
    if (bytes + size > maxMessageBytes) {
      messages.push([]);
      bytes = 0;
    }
    bytes += size;
    messages[messages.length - 1]?.push(entry);
  }
  return messages.map((changes) => ({ kind: 'configuration-change', changes }));
};

export const floodChanges = (
  log: readonly CommittedChangeSet[],
  except?: NodeId,
): readonly ReplicaAction[] =>
  changeMessages(log).map((message) =>
    except === undefined ? { kind: 'flood', message } : { kind: 'flood', message, except },
  );

/** Settles the pending withdrawals that this revision or log contains. */
const settleCommitted = (
  withdrawals: ProvisionalWithdrawals,
  revision: Revision,
  log: readonly CommittedChangeSet[],
  now: Milliseconds,
): ProvisionalWithdrawals => {
  let settled = withdrawals;
  const operationsInLog = new Set(log.map(({ operationId }) => operationId));
  for (const [id, pending] of Object.entries(withdrawals.pending)) {
    if (operationsInLog.has(id) || (pending.revision ?? Infinity) <= revision) {
      settled = settleWithdrawal(settled, id, now) ?? settled;
    }
  }
  return settled;
};

/** Replaces configuration and log if the given revision is higher than the current one. */
export const adoptConfiguration = (
  state: ReplicaState,
  configuration: Configuration,
  log: readonly CommittedChangeSet[],
  now: Milliseconds,
): ReplicaStep => {
  const before = state.configuration.revision;
  if (configuration.revision <= before) {
    return withoutActions(state);
  }
  return {
    state: {
      ...state,
      partialConfiguration: undefined,
      configuration,
      log: log.slice(-maxLogLength),
      provisionalWithdrawals: settleCommitted(
        state.provisionalWithdrawals,
        configuration.revision,
        log,
        now,
      ),
    },
    actions: [{ kind: 'adopted', before, configuration }],
  };
};

/** Appends the change sets that follow without a gap, and floods them to the neighbours. */
export const appendChanges = (
  state: ReplicaState,
  changes: readonly CommittedChangeSet[],
  now: Milliseconds,
  except?: NodeId,
): ReplicaStep => {
  const before = state.configuration.revision;
  const configuration = applyLog(state.configuration, changes);
  // A message may contain duplicates or be out of order; the log must not.
  const byRevision = new Map(changes.map((entry) => [entry.revision, entry]));
  const newChanges: CommittedChangeSet[] = [];
  for (let revision = before + 1; revision <= configuration.revision; revision += 1) {
    const entry = byRevision.get(revision);
    if (entry !== undefined) {
      newChanges.push(entry);
    }
  }
  if (newChanges.length === 0) {
    return withoutActions(state);
  }
  const adopted = adoptConfiguration(state, configuration, [...state.log, ...newChanges], now);
  return {
    state: adopted.state,
    actions: [...adopted.actions, ...floodChanges(newChanges, except)],
  };
};
