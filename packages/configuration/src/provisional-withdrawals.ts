import type {
  Configuration,
  DataCentreId,
  Milliseconds,
  OperationId,
  ProvisionalWithdrawal,
  Revision,
} from '@zinniagrade/types';
import { ownEntry } from './apply-changes.js';

/** A withdrawal in force, with the revision that contains it once the store has accepted it. */
export interface PendingWithdrawal {
  readonly withdrawal: ProvisionalWithdrawal;
  readonly revision?: Revision;
}

/** Withdrawals of data centres that take effect before they are committed to the store. */
export interface ProvisionalWithdrawals {
  readonly pending: Readonly<Record<OperationId, PendingWithdrawal>>;
  /**
   * Withdrawals that were committed or taken back, with the local monotonic time at which this node
   * recorded it.
   */
  readonly settled: Readonly<Record<OperationId, Milliseconds>>;
}

export const noProvisionalWithdrawals: ProvisionalWithdrawals = { pending: {}, settled: {} };

/** Operators issue one withdrawal per data centre, so more than this means a faulty sender. */
const maxPending = 64;
/**
 * A node that was partitioned may resend an old withdrawal. Within this time the reply is that the
 * withdrawal is settled.
 */
const settledRetentionMs: Milliseconds = 2 * 3_600_000;
const maxSettledEntries = 512;

/** Adds a withdrawal; `undefined` if it is already known or too many are pending. */
export const addWithdrawal = (
  withdrawals: ProvisionalWithdrawals,
  withdrawal: ProvisionalWithdrawal,
): ProvisionalWithdrawals | undefined => {
  const { pending, settled } = withdrawals;
  const id = withdrawal.operationId;
  return Object.hasOwn(pending, id) ||
    Object.hasOwn(settled, id) ||
    Object.keys(pending).length >= maxPending
    ? undefined
    : { ...withdrawals, pending: { ...pending, [id]: { withdrawal } } };
};

/**
 * Records that the store has accepted a withdrawal; `undefined` if that is already known. The
 * notice may arrive before the change itself, so the withdrawal stays pending until the node has
 * that revision.
 */
export const markAccepted = (
  { pending, settled }: ProvisionalWithdrawals,
  withdrawal: ProvisionalWithdrawal,
  revision: Revision,
): ProvisionalWithdrawals | undefined => {
  const id = withdrawal.operationId;
  return Object.hasOwn(settled, id) || pending[id]?.revision !== undefined
    ? undefined
    : { settled, pending: { ...pending, [id]: { withdrawal, revision } } };
};

/** Moves a withdrawal to the settled ones; `undefined` if it is already there. */
export const settleWithdrawal = (
  { pending, settled }: ProvisionalWithdrawals,
  id: OperationId,
  now: Milliseconds,
): ProvisionalWithdrawals | undefined => {
  if (Object.hasOwn(settled, id)) {
    return undefined;
  }
  const retained = Object.entries(settled)
    .filter(([, settledAt]) => now - settledAt < settledRetentionMs)
    .slice(-maxSettledEntries + 1);
  return {
    pending: Object.fromEntries(Object.entries(pending).filter(([key]) => key !== id)),
    settled: { ...Object.fromEntries(retained), [id]: now },
  };
};

/**
 * Data centres that get no new work. Provisional withdrawals are applied in the order of issue, and
 * one that would withdraw the last data centre is ignored. The order makes the result the same on
 * every node that has the same withdrawals.
 */
export const withdrawnDataCentres = (
  { dataCentres }: Configuration,
  { pending }: ProvisionalWithdrawals,
): ReadonlySet<DataCentreId> => {
  const knownDataCentres = Object.values(dataCentres);
  const withdrawn = new Set(
    knownDataCentres.filter(({ state }) => state === 'withdrawn').map(({ id }) => id),
  );
  const inIssueOrder = Object.values(pending)
    .map(({ withdrawal }) => withdrawal)
    .sort((a, b) => a.issuedAt - b.issuedAt || (a.operationId < b.operationId ? -1 : 1));
  for (const { dataCentre } of inIssueOrder) {
    const isKnown = ownEntry(dataCentres, dataCentre) !== undefined;
    if (isKnown && !withdrawn.has(dataCentre) && withdrawn.size + 1 < knownDataCentres.length) {
      withdrawn.add(dataCentre);
    }
  }
  return withdrawn;
};
