import type { Clock } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import type { Logger } from '@zinniagrade/logger';
import type { Store } from '@zinniagrade/platform';
import type {
  DataCentreId,
  Milliseconds,
  ProvisionalWithdrawal,
  Revision,
} from '@zinniagrade/types';
import type { NodeNotifier } from './node-notifier.js';

const retryIntervalMs: Milliseconds = 1000;
/** Nodes flood a withdrawal among themselves; it is resent for nodes that were disconnected. */
const resendIntervalMs: Milliseconds = 5000;

interface PendingWithdrawal {
  readonly withdrawal: ProvisionalWithdrawal;
  sentAt: Milliseconds;
}

/** Withdrawals that are in force at the nodes, but not written to the store yet. */
export interface ProvisionalWithdrawals {
  /** Sends the withdrawal to the nodes; false if none was reached. */
  readonly add: (withdrawal: ProvisionalWithdrawal) => Promise<boolean>;
  /** Cancels the pending withdrawals of a data centre; false if there was none. */
  readonly cancel: (dataCentre: DataCentreId) => Promise<boolean>;
  readonly list: () => readonly DataCentreId[];
  readonly close: () => void;
}

export interface ProvisionalWithdrawalsOptions {
  readonly store: Store;
  readonly notifyNodes: NodeNotifier;
  readonly clock: Clock;
  readonly logger: Logger;
}

export const ProvisionalWithdrawals = {
  create: ({
    clock,
    logger,
    notifyNodes,
    store,
  }: ProvisionalWithdrawalsOptions): ProvisionalWithdrawals => {
    const pending = new Map<string, PendingWithdrawal>();
    let isWriting = false;

    const send = (withdrawal: ProvisionalWithdrawal): Promise<number> =>
      notifyNodes({ kind: 'provisional-withdrawal', withdrawal, settled: false });

    /**
     * Ends a withdrawal. A node applies it until it has the revision in which the withdrawal was
     * written.
     */
    const settle = async (
      withdrawal: ProvisionalWithdrawal,
      result: string,
      revision?: Revision,
    ): Promise<void> => {
      pending.delete(withdrawal.operationId);
      logger.info('provisional withdrawal settled', {
        dataCentre: withdrawal.dataCentre,
        operationId: withdrawal.operationId,
        result,
      });
      await notifyNodes({
        kind: 'provisional-withdrawal',
        withdrawal,
        settled: true,
        ...(revision === undefined ? {} : { revision }),
      });
    };

    const write = async ({ withdrawal, sentAt }: PendingWithdrawal): Promise<void> => {
      const { dataCentre, operationId } = withdrawal;
      const written = await commitChangeSet(
        store,
        { operationId, changes: [{ kind: 'withdraw-data-centre', id: dataCentre }] },
        { clock },
      ).run();
      const current = pending.get(operationId);
      if (current === undefined) {
        return;
      }
      const result = written.caseOf({
        Left: ({ detail, kind }) => (kind === 'invalid-configuration' ? detail : undefined),
        Right: (revision) => `written at revision ${revision}`,
      });
      if (result !== undefined) {
        await settle(withdrawal, result, written.toMaybe().extract());
      } else if (clock.monotonicMs() - sentAt >= resendIntervalMs) {
        current.sentAt = clock.monotonicMs();
        await send(withdrawal);
      }
    };

    const writeAll = async (): Promise<void> => {
      if (isWriting) {
        return;
      }
      isWriting = true;
      for (const pendingWithdrawal of [...pending.values()]) {
        await write(pendingWithdrawal);
      }
      isWriting = false;
    };

    const stopRetrying = clock.every(retryIntervalMs, () => {
      void writeAll();
    });
    return {
      add: async (withdrawal) => {
        const reached = await send(withdrawal);
        if (reached === 0) {
          return false;
        }
        pending.set(withdrawal.operationId, { withdrawal, sentAt: clock.monotonicMs() });
        const { dataCentre, operationId } = withdrawal;
        logger.warn('data centre withdrawn provisionally', { dataCentre, operationId, reached });
        return true;
      },
      cancel: async (dataCentre) => {
        const matching = [...pending.values()].filter(
          ({ withdrawal }) => withdrawal.dataCentre === dataCentre,
        );
        for (const { withdrawal } of matching) {
          await settle(withdrawal, 'taken back by an operator');
        }
        return matching.length > 0;
      },
      list: () => [
        ...new Set([...pending.values()].map(({ withdrawal }) => withdrawal.dataCentre)),
      ],
      close: stopRetrying,
    };
  },
};
