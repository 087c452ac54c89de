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
import type { ControlDependencies } from './control-dependencies.js';
import { HeadWatch } from './head-watch.js';
import { commitProvisionalWithdrawal } from './provisional-commit.js';

/** Age that stands for "no confirmation" in a heartbeat. */
const noConfirmationAgeMs: Milliseconds = 1e12;
const watchersPerDataCentre = 2;
/** The store counts as reachable while the confirmation is younger than this. */
const storeAnsweringMaxAgeMs: Milliseconds = 1000;

/** What the configuration controller needs of the rest of the control plane. */
export interface ConfigurationHooks {
  readonly link: NodeLink;
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentreId;
  readonly presentMembers: () => readonly Member[];
  readonly flood: (message: NodeMessage, except?: NodeId) => void;
  readonly onChange: () => void;
  readonly onConfirmation: () => void;
}

/** Keeps one node's copy of the configuration up to date. */
export interface ConfigurationController {
  readonly state: () => ReplicaState;
  readonly step: (event: ReplicaEvent) => void;
  readonly confirmation: () => Pick<Heartbeat, 'revision' | 'newestRevision' | 'confirmationAgeMs'>;
  readonly onHeartbeat: (from: NodeId, message: Heartbeat, transitMs: Milliseconds) => void;
  readonly isWatcher: () => boolean;
  /** Reads the store until the configuration is first confirmed, and commits provisional withdrawals. */
  readonly slowTick: () => void;
  readonly close: () => void;
}

/** The nodes of a data centre that watch the configuration head in the store. */
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

type Dependencies = Pick<ControlDependencies, 'clock' | 'counters' | 'event' | 'store'>;

export const ConfigurationController = {
  create: (dependencies: Dependencies, hooks: ConfigurationHooks): ConfigurationController => {
    const { clock, counters, event, store } = dependencies;
    let state = ReplicaState.create();
    let isClosed = false;
    let watchers: readonly NodeId[] = [];
    let watchersComputedFrom: readonly Member[] | undefined;

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
      const present = hooks.presentMembers();
      if (present !== watchersComputedFrom) {
        watchersComputedFrom = present;
        watchers = watchersOf(present, hooks.dataCentre);
      }
      return watchers.includes(hooks.nodeId);
    };
    const headWatch = HeadWatch.create(store, clock, counters, isWatcher, step);

    const committing = new Set<string>();
    const commitWithdrawal = async (withdrawal: ProvisionalWithdrawal): Promise<void> => {
      const id = withdrawal.operationId;
      if (committing.has(id)) {
        return;
      }
      committing.add(id);
      const settled = await commitProvisionalWithdrawal(store, clock, withdrawal);
      committing.delete(id);
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
            ? noConfirmationAgeMs
            : Math.max(0, clock.monotonicMs() - state.confirmedAt),
      }),
      onHeartbeat: (from, { revision, newestRevision = 0, confirmationAgeMs }, transitMs) => {
        const age = confirmationAgeMs + transitMs;
        const confirmedAt =
          confirmationAgeMs >= noConfirmationAgeMs ? undefined : clock.monotonicMs() - age;
        step({ kind: 'heartbeat', from, revision, newestRevision, confirmedAt });
      },
      isWatcher,
      slowTick: () => {
        const { confirmedAt, provisionalWithdrawals: provisional } = state;
        if (confirmedAt === undefined) {
          void headWatch.readAll();
        }
        const isStoreAnswering =
          clock.monotonicMs() - (confirmedAt ?? -Infinity) < storeAnsweringMaxAgeMs;
        for (const { withdrawal, revision } of Object.values(provisional.pending)) {
          if (revision === undefined && isStoreAnswering && isWatcher()) {
            void commitWithdrawal(withdrawal);
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
