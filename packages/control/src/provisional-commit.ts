import type { Clock } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import type { Store } from '@zinniagrade/platform';
import type { ProvisionalWithdrawal, Revision } from '@zinniagrade/types';

/** The revision that contains the withdrawal; absent if the store will never accept it. */
export interface SettledWithdrawal {
  readonly revision?: Revision;
}

/**
 * Commits a provisional withdrawal to the store. Idempotent: several nodes may do so at once, as
 * they use the same operation id. `undefined` if the outcome is not final.
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
