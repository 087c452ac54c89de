import type { CommittedChangeSet, Milliseconds, NodeId } from '@zinniagrade/types';
import { onProvisionalWithdrawal } from './replica-withdrawals.js';
import { answerPull, onStatePart } from './replica-pull.js';
import {
  type ReplicaEvent,
  type ReplicaMessage,
  type ReplicaState,
  type ReplicaStep,
  adoptConfiguration,
  appendChanges,
  andThen,
  withConfirmation,
  floodChanges,
  withoutActions,
} from './replica-state.js';

/** Minimum time between two pulls. After it, an unanswered pull may go to another neighbour. */
const pullRetryMs: Milliseconds = 400;

const pullFrom = (state: ReplicaState, from: NodeId, now: Milliseconds): ReplicaStep =>
  now - state.lastPullAt < pullRetryMs
    ? withoutActions(state)
    : {
        state: { ...state, lastPullAt: now },
        actions: [
          {
            kind: 'send',
            to: from,
            message: { kind: 'configuration-pull', haveRevision: state.configuration.revision },
          },
        ],
      };

const onHead = (
  state: ReplicaState,
  { head, readAt }: Extract<ReplicaEvent, { kind: 'head' }>,
  now: Milliseconds,
): ReplicaStep =>
  andThen(appendChanges(state, head.changes, now), (next) =>
    next.configuration.revision >= head.revision
      ? withoutActions(withConfirmation(next, readAt))
      : { state: next, actions: [{ kind: 'read-store' }] },
  );

const onStored = (
  state: ReplicaState,
  { configuration, head, readAt }: Extract<ReplicaEvent, { kind: 'stored' }>,
  now: Milliseconds,
): ReplicaStep => {
  const previousRevision = state.configuration.revision;
  const adopted = adoptConfiguration(state, configuration, head.changes, now);
  const newChanges = head.changes.filter(({ revision }) => revision > previousRevision);
  return {
    state: withConfirmation(adopted.state, readAt),
    // A node that has just started has nothing new for the others.
    actions:
      previousRevision === 0 ? adopted.actions : [...adopted.actions, ...floodChanges(newChanges)],
  };
};

const onHeartbeat = (
  previous: ReplicaState,
  { from, revision, newestRevision, confirmedAt }: Extract<ReplicaEvent, { kind: 'heartbeat' }>,
  now: Milliseconds,
): ReplicaStep => {
  const highestKnownRevision = Math.max(previous.highestKnownRevision, revision, newestRevision);
  const state =
    highestKnownRevision === previous.highestKnownRevision
      ? previous
      : { ...previous, highestKnownRevision };
  if (revision > state.configuration.revision) {
    return pullFrom(state, from, now);
  }
  // This node has at least the sender's revision, so the sender's confirmation holds here too.
  return withoutActions(
    confirmedAt === undefined ? state : withConfirmation(state, Math.min(confirmedAt, now)),
  );
};

const onChanges = (
  state: ReplicaState,
  from: NodeId,
  changes: readonly CommittedChangeSet[],
  now: Milliseconds,
): ReplicaStep =>
  andThen(appendChanges(state, changes, now, from), (next) =>
    changes.some(({ revision }) => revision > next.configuration.revision)
      ? pullFrom(next, from, now)
      : withoutActions(next),
  );

const onMessage = (
  state: ReplicaState,
  from: NodeId,
  message: ReplicaMessage,
  now: Milliseconds,
): ReplicaStep => {
  switch (message.kind) {
    case 'configuration-change':
      return onChanges(state, from, message.changes, now);
    case 'configuration-pull':
      return answerPull(state, from, message.haveRevision);
    case 'configuration-state':
      return onStatePart(state, message, now);
    case 'provisional-withdrawal':
      return onProvisionalWithdrawal(state, from, message, now);
  }
};

/** Sends the pending withdrawals, which the other node may have missed while it was unreachable. */
const onLinkUp = (state: ReplicaState, to: NodeId): ReplicaStep => ({
  state,
  actions: Object.values(state.provisionalWithdrawals.pending).map(({ withdrawal, revision }) => ({
    kind: 'send',
    to,
    message: {
      kind: 'provisional-withdrawal',
      withdrawal,
      settled: revision !== undefined,
      ...(revision === undefined ? {} : { revision }),
    },
  })),
});

/**
 * Handles one event at a node's replica of the configuration. Pure; `now` is its monotonic clock.
 */
export const stepReplica = (
  state: ReplicaState,
  event: ReplicaEvent,
  now: Milliseconds,
): ReplicaStep => {
  switch (event.kind) {
    case 'head':
      return onHead(state, event, now);
    case 'stored':
      return onStored(state, event, now);
    case 'unchanged':
      return withoutActions(
        state.configuration.revision >= event.revision
          ? withConfirmation(state, event.readAt)
          : state,
      );
    case 'heartbeat':
      return onHeartbeat(state, event, now);
    case 'message':
      return onMessage(state, event.from, event.message, now);
    case 'link-up':
      return onLinkUp(state, event.from);
    case 'frozen':
      return withoutActions({ ...state, confirmedAt: undefined });
  }
};
