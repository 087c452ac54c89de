import {
  type ReplicaAction,
  type ReplicaEvent,
  ReplicaState,
  isBehind,
  stepReplica,
} from '@zinniagrade/configuration';
import { chooseByRendezvous } from '@zinniagrade/membership';
import type { NodeLink } from '@zinniagrade/node-link';
import type {
  DataCentreId,
  Heartbeat,
  Member,
  Milliseconds,
  NodeId,
  NodeMessage,
  ProvisionalWithdrawal,
} from '@zinniagrade/types';
import type { ControlParts } from './control-options.js';
import { HeadWatch } from './head-watch.js';
import { settleInStore } from './provisional-commit.js';

/** Stands for "no confirmation" in a heartbeat. */
const noConfirmationMs: Milliseconds = 1e12;
const watchersPerDataCentre = 2;
/** A confirmation of this age shows that the store answers now. */
const answersNowMs: Milliseconds = 1000;

/** What the configuration needs of the rest of the control part. */
export interface ConfigurationHooks {
  readonly link: NodeLink;
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentreId;
  readonly present: () => readonly Member[];
  readonly flood: (message: NodeMessage, except?: NodeId) => void;
  readonly onChange: () => void;
  readonly onConfirmation: () => void;
}

/** Runs one node's copy of the configuration. */
export interface ConfigurationPart {
  readonly state: () => ReplicaState;
  readonly step: (event: ReplicaEvent) => void;
  readonly confirmation: () => Pick<Heartbeat, 'revision' | 'newestRevision' | 'confirmationAgeMs'>;
  readonly onHeartbeat: (from: NodeId, message: Heartbeat, transitMs: Milliseconds) => void;
  readonly isWatcher: () => boolean;
  /** Reads the store where nothing is known yet, and writes provisional withdrawals. */
  readonly slowTick: () => void;
  readonly close: () => void;
}

/** The nodes of a data centre that hold a watch on the head. */
export const watchersOf = (
  members: readonly Member[],
  dataCentre: DataCentreId,
): readonly NodeId[] =>
  chooseByRendezvous(
    `configuration-watch|${dataCentre}`,
    members
      .filter((member) => member.dataCentre === dataCentre && member.status === 'alive')
      .map(({ nodeId }) => nodeId),
    watchersPerDataCentre,
  );

type Parts = Pick<ControlParts, 'clock' | 'counters' | 'event' | 'store'>;

export const ConfigurationPart = {
  create: (parts: Parts, hooks: ConfigurationHooks): ConfigurationPart => {
    const { clock, counters, event, store } = parts;
    let state = ReplicaState.create();
    let isClosed = false;
    let watchers: readonly NodeId[] = [];
    let watchersFrom: readonly Member[] | undefined;

    const apply = (action: ReplicaAction): void => {
      switch (action.kind) {
        case 'send':
          hooks.link.send(action.to, action.message);
          return;
        case 'flood':
          hooks.flood(action.message, action.except);
          return;
        case 'adopted':
          event('configuration-adopted', { revision: action.configuration.revision });
          return;
        case 'read-store':
          void headWatch.readAll();
          return;
        case 'withdrawn-provisionally':
          event('data-centre-withdrawn-provisionally', {
            dataCentre: action.withdrawal.dataCentre,
            operationId: action.withdrawal.operationId,
          });
      }
    };

    const step = (spreadEvent: ReplicaEvent): void => {
      if (isClosed) {
        return;
      }
      const before = state;
      const next = stepReplica(state, spreadEvent, clock.monotonicMs());
      state = next.state;
      for (const action of next.actions) {
        apply(action);
      }
      if (
        before.configuration !== state.configuration ||
        before.provisionalWithdrawals !== state.provisionalWithdrawals
      ) {
        hooks.onChange();
      }
      if (before.confirmedAt !== state.confirmedAt) {
        hooks.onConfirmation();
      }
    };

    const isWatcher = (): boolean => {
      const present = hooks.present();
      if (present !== watchersFrom) {
        watchersFrom = present;
        watchers = watchersOf(present, hooks.dataCentre);
      }
      return watchers.includes(hooks.nodeId);
    };
    const headWatch = HeadWatch.create(store, clock, counters, isWatcher, step);

    const settling = new Set<string>();
    const settle = async (withdrawal: ProvisionalWithdrawal): Promise<void> => {
      const id = withdrawal.operationId;
      if (settling.has(id)) {
        return;
      }
      settling.add(id);
      const settled = await settleInStore(store, clock, withdrawal);
      settling.delete(id);
      if (settled !== undefined && !isClosed) {
        event('provisional-withdrawal-settled', { operationId: id });
        step({
          kind: 'message',
          from: hooks.nodeId,
          message: { kind: 'provisional-withdrawal', withdrawal, settled: true, ...settled },
        });
      }
    };

    return {
      state: () => state,
      step,
      confirmation: () => ({
        revision: state.configuration.revision,
        ...(isBehind(state) ? { newestRevision: state.highestKnownRevision } : {}),
        confirmationAgeMs:
          state.confirmedAt === undefined
            ? noConfirmationMs
            : Math.max(0, clock.monotonicMs() - state.confirmedAt),
      }),
      onHeartbeat: (from, { revision, newestRevision = 0, confirmationAgeMs }, transitMs) => {
        const age = confirmationAgeMs + transitMs;
        const confirmedAt =
          confirmationAgeMs >= noConfirmationMs ? undefined : clock.monotonicMs() - age;
        step({ kind: 'heartbeat', from, revision, newestRevision, confirmedAt });
      },
      isWatcher,
      slowTick: () => {
        const { confirmedAt, provisionalWithdrawals: provisional } = state;
        if (confirmedAt === undefined) {
          void headWatch.readAll();
        }
        const answers = clock.monotonicMs() - (confirmedAt ?? -Infinity) < answersNowMs;
        for (const { withdrawal, revision } of Object.values(provisional.pending)) {
          if (revision === undefined && answers && isWatcher()) {
            void settle(withdrawal);
          }
        }
      },
      close: () => {
        isClosed = true;
        headWatch.close();
      },
    };
  },
};
