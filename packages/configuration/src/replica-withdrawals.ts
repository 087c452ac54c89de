import type { Milliseconds, NodeId } from '@zinniagrade/types';
import { markAccepted, addWithdrawal, settleWithdrawal } from './provisional-withdrawals.js';
import {
  type ReplicaMessage,
  type ReplicaState,
  type ReplicaStep,
  withoutActions,
} from './replica-state.js';

/** Adds, accepts or settles a provisional withdrawal and floods what is new. */
export const onProvisionalWithdrawal = (
  state: ReplicaState,
  from: NodeId,
  message: Extract<ReplicaMessage, { kind: 'provisional-withdrawal' }>,
  now: Milliseconds,
): ReplicaStep => {
  const { withdrawal } = message;
  if (message.settled) {
    const { revision } = message;
    const provisionalWithdrawals =
      revision === undefined || revision <= state.configuration.revision
        ? settleWithdrawal(state.provisionalWithdrawals, withdrawal.operationId, now)
        : markAccepted(state.provisionalWithdrawals, withdrawal, revision);
    return provisionalWithdrawals === undefined
      ? withoutActions(state)
      : {
          state: { ...state, provisionalWithdrawals },
          actions: [{ kind: 'flood', message, except: from }],
        };
  }
  if (Object.hasOwn(state.provisionalWithdrawals.settled, withdrawal.operationId)) {
    return {
      state,
      actions: [{ kind: 'send', to: from, message: { ...message, settled: true } }],
    };
  }
  // The withdrawal is already committed: this message was delayed, for example on a slow link.
  if (state.log.some(({ operationId }) => operationId === withdrawal.operationId)) {
    return withoutActions(state);
  }
  const provisionalWithdrawals = addWithdrawal(state.provisionalWithdrawals, withdrawal);
  return provisionalWithdrawals === undefined
    ? withoutActions(state)
    : {
        state: { ...state, provisionalWithdrawals },
        actions: [
          { kind: 'withdrawn-provisionally', withdrawal },
          { kind: 'flood', message, except: from },
        ],
      };
};
