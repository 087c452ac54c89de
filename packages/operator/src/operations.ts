import type { Clock } from '@zinniagrade/clock';
import { createChangeMessage, commitChangeSet, validateChanges } from '@zinniagrade/configuration';
import { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import type { ChangeSet, DataCentreId, Milliseconds, MoveId, Revision } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import type { ConfigurationCache } from './configuration-cache.js';
import type { ProvisionalWithdrawals } from './provisional-withdrawals.js';
import type { NodeNotifier } from './node-notifier.js';
import { changeSetFromWire, type WireMessage, type Write } from './wire.js';

export interface WriteResult {
  /** 0 for a provisional write. */
  readonly revision: Revision;
  readonly provisional: boolean;
}

type WriteResponse = Promise<Either<Failure, WriteResult>>;

/** The write operations of the operator interface. */
export interface Operations {
  readonly apply: (write: Write, changes: readonly WireMessage[]) => WriteResponse;
  readonly withdrawDataCentre: (write: Write, id: DataCentreId) => WriteResponse;
  readonly returnDataCentre: (write: Write, id: DataCentreId) => WriteResponse;
  readonly startMove: (write: Write, move: WireMessage) => WriteResponse;
  readonly takeBackMove: (write: Write, id: MoveId, reason: string) => WriteResponse;
}

export interface OperationsOptions {
  readonly store: Store;
  readonly configurationCache: ConfigurationCache;
  readonly provisional: ProvisionalWithdrawals;
  readonly notifyNodes: NodeNotifier;
  readonly clock: Clock;
}

/**
 * A withdrawal has to be in force within 3 s, so it is sent to the nodes provisionally when the store
 * has not answered by then. Resolving a write whose reply was lost may take far longer.
 */
const withdrawalStoreTimeoutMs: Milliseconds = 800;

/** Maximum time by which notifying the nodes of an accepted change delays the answer. */
const announceTimeoutMs: Milliseconds = 300;

const provisionalResult: WriteResult = { revision: 0, provisional: true };

/** Whether the outcome is not known; the change can then be retried with its operation id. */
const isStoreUnresponsive = ({ kind }: Failure): boolean =>
  kind === 'store-unavailable' || kind === 'outcome-unknown';

export const Operations = {
  create: ({
    clock,
    provisional,
    notifyNodes,
    store,
    configurationCache,
  }: OperationsOptions): Operations => {
    /**
     * Notifies the nodes directly; otherwise a change accepted just before a store outage reaches no
     * node until the store is back.
     */
    const announce = (changeSet: ChangeSet, revision: Revision): Promise<unknown> =>
      Promise.race([
        notifyNodes(createChangeMessage(changeSet, revision)),
        new Promise((resolve) => {
          clock.after(announceTimeoutMs, () => {
            resolve(undefined);
          });
        }),
      ]);

    const commit = async (write: Write, changeSet: ChangeSet): WriteResponse => {
      const { expectedRevision } = write;
      const committed = await commitChangeSet(store, changeSet, { clock, expectedRevision }).run();
      const revision = committed.toMaybe().extract();
      if (revision !== undefined) {
        await announce(changeSet, revision);
      }
      return committed.map((accepted) => ({ revision: accepted, provisional: false }));
    };

    const storeTimeout = (): WriteResponse =>
      new Promise((resolve) => {
        clock.after(withdrawalStoreTimeoutMs, () => {
          resolve(Left(Failure.create('store-unavailable', 'store did not answer in time')));
        });
      });

    const applyChanges = (write: Write, changes: readonly WireMessage[]): WriteResponse =>
      changeSetFromWire(write.operationId, changes).caseOf({
        Left: (failure) => Promise.resolve(Left(failure)),
        Right: (changeSet) => commit(write, changeSet),
      });

    /** Checks the change against the cached configuration, as the store can't check it now. */
    const planAgainstCache = (write: Write, changeSet: ChangeSet): Either<Failure, unknown> => {
      const { configuration, confirmedAtWall } = configurationCache.current();
      if (confirmedAtWall === undefined) {
        return Right(undefined);
      }
      const { expectedRevision } = write;
      return expectedRevision !== undefined && expectedRevision < configuration.revision
        ? Left(
            Failure.create(
              'revision-conflict',
              `expected revision ${expectedRevision}, but revision ${configuration.revision} ` +
                'was accepted; read it and try again',
            ),
          )
        : validateChanges(configuration, changeSet, clock.wallMs());
    };

    const withdrawProvisionally = async (
      write: Write,
      changeSet: ChangeSet,
      id: DataCentreId,
      cause: Failure,
    ): WriteResponse => {
      const planned = planAgainstCache(write, changeSet);
      if (planned.isLeft()) {
        return planned.map(() => provisionalResult);
      }
      const { operationId } = write;
      const wasNodeReached = await provisional.add({
        dataCentre: id,
        operationId,
        issuedAt: clock.wallMs(),
      });
      return wasNodeReached
        ? Right(provisionalResult)
        : Left({ ...cause, detail: `${cause.detail}; no node was reached` });
    };

    return {
      apply: applyChanges,
      withdrawDataCentre: async (write, id) => {
        const changeSet: ChangeSet = {
          operationId: write.operationId,
          changes: [{ kind: 'withdraw-data-centre', id }],
        };
        const committed = await Promise.race([commit(write, changeSet), storeTimeout()]);
        const failure = committed.swap().toMaybe().extract();
        return failure !== undefined && isStoreUnresponsive(failure)
          ? withdrawProvisionally(write, changeSet, id, failure)
          : committed;
      },
      returnDataCentre: async (write, id) => {
        const wasProvisional = await provisional.cancel(id);
        const committed = await commit(write, {
          operationId: write.operationId,
          changes: [{ kind: 'return-data-centre', id }],
        });
        const failure = committed.swap().toMaybe().extract();
        // As far as is known, the data centre is still in service in the store, so nothing has to
        // be written.
        return wasProvisional && failure !== undefined && isStoreUnresponsive(failure)
          ? Right(provisionalResult)
          : committed;
      },
      startMove: async (write, wire) => {
        const snapshot = await configurationCache.read();
        const service = snapshot.toMaybe().extract()?.configuration.services[String(wire.service)];
        const fromVersion =
          wire.fromVersion === '' || wire.fromVersion === undefined
            ? (service?.version ?? '')
            : wire.fromVersion;
        const move = { ...wire, fromVersion, state: 'planned' };
        return fromVersion === ''
          ? Left(
              snapshot
                .swap()
                .orDefault(
                  Failure.create(
                    'invalid-configuration',
                    `unknown service "${String(wire.service)}"`,
                  ),
                ),
            )
          : applyChanges(write, [{ startMove: move }]);
      },
      takeBackMove: (write, id, reason) =>
        applyChanges(write, [
          {
            endMove: {
              id,
              outcome: 'taken-back',
              reason: reason === '' ? 'taken back by an operator' : reason,
            },
          },
        ]),
    };
  },
};
