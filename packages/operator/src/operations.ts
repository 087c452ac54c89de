import type { Clock } from '@zinniagrade/clock';
import { createChangeMessage, commitChangeSet, validateChanges } from '@zinniagrade/configuration';
import { Failure } from '@zinniagrade/errors';
import type { Store } from '@zinniagrade/platform';
import type { ChangeSet, DataCentreId, Milliseconds, MoveId, Revision } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import type { ConfigurationView } from './configuration-view.js';
import type { ProvisionalWithdrawals } from './provisional-withdrawals.js';
import type { SpreadToNodes } from './spread-to-nodes.js';
import { changeSetOf, type WireMessage, type Write } from './wire.js';

export interface WriteResult {
  /** 0 while the write is provisional. */
  readonly revision: Revision;
  readonly provisional: boolean;
}

type Written = Promise<Either<Failure, WriteResult>>;

/** The writes of operators. */
export interface Operations {
  readonly apply: (write: Write, changes: readonly WireMessage[]) => Written;
  readonly withdrawDataCentre: (write: Write, id: DataCentreId) => Written;
  readonly returnDataCentre: (write: Write, id: DataCentreId) => Written;
  readonly startMove: (write: Write, move: WireMessage) => Written;
  readonly takeBackMove: (write: Write, id: MoveId, reason: string) => Written;
}

export interface OperationsOptions {
  readonly store: Store;
  readonly view: ConfigurationView;
  readonly provisional: ProvisionalWithdrawals;
  readonly spread: SpreadToNodes;
  readonly clock: Clock;
}

/**
 * A withdrawal is in force within 3 s, so it is spread provisionally when the store has not answered
 * by then. Settling a write whose reply was lost may take far longer.
 */
const patienceMs: Milliseconds = 800;

/** Time for which the answer waits until nodes have been told of an accepted change. */
const announceMs: Milliseconds = 300;

const provisionalResult: WriteResult = { revision: 0, provisional: true };

/** The store has not said what it has; with its operation id the change can be made again. */
const storeIsSilent = ({ kind }: Failure): boolean =>
  kind === 'store-unavailable' || kind === 'outcome-unknown';

export const Operations = {
  create: ({ clock, provisional, spread, store, view }: OperationsOptions): Operations => {
    /** Without it a change accepted just before a store outage reaches no node until the store is back. */
    const announce = (changeSet: ChangeSet, revision: Revision): Promise<unknown> =>
      Promise.race([
        spread(createChangeMessage(changeSet, revision)),
        new Promise((resolve) => {
          clock.after(announceMs, () => {
            resolve(undefined);
          });
        }),
      ]);

    const commit = async (write: Write, changeSet: ChangeSet): Written => {
      const { expectedRevision } = write;
      const committed = await commitChangeSet(store, changeSet, { clock, expectedRevision }).run();
      const revision = committed.toMaybe().extract();
      if (revision !== undefined) {
        await announce(changeSet, revision);
      }
      return committed.map((accepted) => ({ revision: accepted, provisional: false }));
    };

    const silence = (): Written =>
      new Promise((resolve) => {
        clock.after(patienceMs, () => {
          resolve(Left(Failure.create('store-unavailable', 'the store has not answered yet')));
        });
      });

    const applyWire = (write: Write, changes: readonly WireMessage[]): Written =>
      changeSetOf(write.operationId, changes).caseOf({
        Left: (failure) => Promise.resolve(Left(failure)),
        Right: (changeSet) => commit(write, changeSet),
      });

    /** Checks with the last known configuration what the store can't check now. */
    const planOffline = (write: Write, changeSet: ChangeSet): Either<Failure, unknown> => {
      const { configuration, confirmedAtWall } = view.seen();
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
    ): Written => {
      const planned = planOffline(write, changeSet);
      if (planned.isLeft()) {
        return planned.map(() => provisionalResult);
      }
      const { operationId } = write;
      const isInForce = await provisional.add({
        dataCentre: id,
        operationId,
        issuedAt: clock.wallMs(),
      });
      return isInForce
        ? Right(provisionalResult)
        : Left({ ...cause, detail: `${cause.detail}; and no node was reached` });
    };

    return {
      apply: applyWire,
      withdrawDataCentre: async (write, id) => {
        const changeSet: ChangeSet = {
          operationId: write.operationId,
          changes: [{ kind: 'withdraw-data-centre', id }],
        };
        const committed = await Promise.race([commit(write, changeSet), silence()]);
        const failure = committed.swap().toMaybe().extract();
        return failure !== undefined && storeIsSilent(failure)
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
        // The store has the data centre in service already, as far as it is known.
        return wasProvisional && failure !== undefined && storeIsSilent(failure)
          ? Right(provisionalResult)
          : committed;
      },
      startMove: async (write, wire) => {
        const read = await view.read();
        const service = read.toMaybe().extract()?.configuration.services[String(wire.service)];
        const fromVersion =
          wire.fromVersion === '' || wire.fromVersion === undefined
            ? (service?.version ?? '')
            : wire.fromVersion;
        const move = { ...wire, fromVersion, state: 'planned' };
        return fromVersion === ''
          ? Left(
              read
                .swap()
                .orDefault(
                  Failure.create(
                    'invalid-configuration',
                    `unknown service "${String(wire.service)}"`,
                  ),
                ),
            )
          : applyWire(write, [{ startMove: move }]);
      },
      takeBackMove: (write, id, reason) =>
        applyWire(write, [
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
