import type { Clock } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import type { Store } from '@zinniagrade/platform';
import type { ProvisionalWithdrawal, Revision } from '@zinniagrade/types';

/** The revision that holds the withdrawal; none when the store will never accept it. */
export interface SettledWithdrawal {
  readonly revision?: Revision;
}

/**
 * Writes a provisional withdrawal to the store. Several nodes may do so at once: the operation id is
 * the same, so it is applied once. `undefined` while the outcome is open.
 */
export const commitProvisionalWithdrawal = async (
  store: Store,
  clock: Clock,
  { operationId, dataCentre }: ProvisionalWithdrawal,
): Promise<SettledWithdrawal | undefined> => {
  const committed = await commitChangeSet(
    store,
    { operationId, changes: [{ kind: 'withdraw-data-centre', id: dataCentre }] },
    { clock },
  ).run();
  return committed.caseOf<SettledWithdrawal | undefined>({
    Left: ({ kind }) => (kind === 'invalid-configuration' ? {} : undefined),
    Right: (revision) => ({ revision }),
  });
};
