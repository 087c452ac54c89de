import type { Random } from '@zinniagrade/clock';
import { createChangeMessage, commitChangeSet } from '@zinniagrade/configuration';
import { ControlFixture, FreezableProcess } from '@zinniagrade/control';
import { NaiveConfigurationNode, naiveCommit } from '@zinniagrade/naive';
import type { Vm } from '@zinniagrade/platform';
import type { Change, DataCentreId, Milliseconds, NodeId, Revision } from '@zinniagrade/types';
import { Right } from 'purify-ts';
import type { Policy } from '../proof.js';

/** The configuration state of one running entry node. */
export interface SystemNode {
  readonly nodeId: NodeId;
  /** Higher for each later process of this node. */
  readonly startNumber: number;
  readonly isFrozen: () => boolean;
  readonly acceptsWork: () => boolean;
  readonly revision: () => Revision;
  readonly hasDataCentre: (dataCentre: DataCentreId) => boolean;
  readonly routesTo: (dataCentre: DataCentreId) => boolean;
}

/** Eight nodes in two data centres with one store, under either policy, on a virtual clock. */
export interface ConfigurationSystem {
  readonly random: Random;
  readonly now: () => Milliseconds;
  readonly after: (delayMs: Milliseconds, run: () => void) => void;
  readonly nodes: () => readonly SystemNode[];
  readonly faults: ControlFixture['store']['faults'];
  readonly setStoreCut: (nodeId: NodeId, isCut: boolean) => void;
  /** Sets which pairs of nodes can't reach each other. */
  readonly setLinkCut: (isCut: (a: NodeId, b: NodeId) => boolean) => void;
  readonly freeze: (nodeId: NodeId) => void;
  readonly wake: (nodeId: NodeId) => void;
  readonly kill: (nodeId: NodeId) => void;
  readonly restart: (nodeId: NodeId) => Promise<void>;
  /** True when the change was accepted. */
  readonly commit: (operationId: string, changes: readonly Change[]) => Promise<boolean>;
  /**
   * The operator withdraws a data centre, whether or not the store is up. True when the withdrawal was
   * accepted, provisionally or in the store.
   */
  readonly withdraw: (operationId: string, dataCentre: DataCentreId) => Promise<boolean>;
  readonly setVms: (vms: readonly Vm[]) => void;
  readonly run: (durationMs: Milliseconds, onStep?: () => void) => Promise<void>;
  readonly close: () => Promise<void>;
}

export const nodeIds: readonly NodeId[] = Array.from({ length: 8 }, (_, index) => `n${index}`);

export const dataCentreOf = (nodeId: NodeId): DataCentreId =>
  Number(nodeId.slice(1)) % 2 === 0 ? 'a' : 'b';

const linkPort = 7000;
/** A withdrawal that the store has not accepted after this time is sent to the nodes as provisional. */
const provisionalAfterMs: Milliseconds = 500;
const stepMs: Milliseconds = 20;

const createCurrent = async (seed: number): Promise<ConfigurationSystem> => {
  const fixture = await ControlFixture.create({
    seed,
    stepMs,
    nodes: nodeIds.map((nodeId) => ({ nodeId, dataCentre: dataCentreOf(nodeId), region: 'r' })),
  });
  const { clock, store, network } = fixture;
  const operator = await network.open('operator', { host: 'operator', port: 1 })({
    onUp: () => undefined,
    onDown: () => undefined,
    onMessage: () => undefined,
  });
  const operatorStore = store.client('operator');
  const commit: ConfigurationSystem['commit'] = async (operationId, changes) => {
    const changeSet = { operationId, changes };
    const committed = await commitChangeSet(operatorStore, changeSet, { clock }).run();
    committed.ifRight((revision) => {
      for (const nodeId of fixture.nodes.keys()) {
        operator.send(nodeId, createChangeMessage(changeSet, revision));
      }
    });
    return committed.isRight();
  };

  /** Sends the withdrawal directly to all nodes, as some may be cut off or frozen. */
  const withdrawProvisionally = (operationId: string, dataCentre: DataCentreId): boolean => {
    let reached = 0;
    for (const nodeId of fixture.nodes.keys()) {
      const message = {
        kind: 'provisional-withdrawal',
        withdrawal: { dataCentre, operationId, issuedAt: clock.wallMs() },
        settled: false,
      } as const;
      reached += operator.send(nodeId, message) ? 1 : 0;
    }
    return reached > 0;
  };
  const dialAll = (): void => {
    for (const nodeId of nodeIds) {
      operator.dial({ host: nodeId, port: linkPort });
    }
  };
  clock.every(1000, dialAll);
  dialAll();
  const startNumbers = new Map<NodeId, number>();

  return {
    random: fixture.random,
    now: () => clock.monotonicMs(),
    after: clock.after,
    nodes: () =>
      [...fixture.nodes.values()].map(({ nodeId, control, process }) => ({
        nodeId,
        startNumber: startNumbers.get(nodeId) ?? 0,
        isFrozen: process.isFrozen,
        acceptsWork: () => control.view().refusesNewWork === undefined,
        revision: () => control.view().configuration.revision,
        hasDataCentre: (dataCentre) =>
          Object.hasOwn(control.view().configuration.dataCentres, dataCentre),
        routesTo: (dataCentre) => {
          const view = control.view();
          return view.refusesNewWork === undefined && !view.withdrawnDataCentres.has(dataCentre);
        },
      })),
    faults: store.faults,
    setStoreCut: store.setDisconnected,
    setLinkCut: network.setPartition,
    freeze: (nodeId) => fixture.nodes.get(nodeId)?.process.freeze(),
    wake: (nodeId) => fixture.nodes.get(nodeId)?.process.wake(),
    kill: fixture.kill,
    restart: async (nodeId) => {
      startNumbers.set(nodeId, (startNumbers.get(nodeId) ?? 0) + 1);
      await fixture.start({ nodeId, dataCentre: dataCentreOf(nodeId), region: 'r' });
    },
    commit,
    withdraw: (operationId, dataCentre) =>
      new Promise((resolve) => {
        const cancel = clock.after(provisionalAfterMs, () => {
          resolve(withdrawProvisionally(operationId, dataCentre));
        });
        const changes = [{ kind: 'withdraw-data-centre', id: dataCentre }] as const;
        void commit(operationId, changes).then((isAccepted) => {
          if (isAccepted) {
            cancel();
            resolve(true);
          }
        });
      }),
    setVms: fixture.setVms,
    run: fixture.run,
    close: fixture.close,
  };
};

const createNaive = async (seed: number): Promise<ConfigurationSystem> => {
  // Without nodes, the fixture provides just the clock and the store.
  const fixture = await ControlFixture.create({ seed, stepMs, nodes: [] });
  const { clock, store } = fixture;
  const operator = store.client('operator');
  let vms: readonly Vm[] = [];
  const running = new Map<
    NodeId,
    { count: number; process: FreezableProcess; node: NaiveConfigurationNode }
  >();
  let started = 0;
  const start = (nodeId: NodeId): void => {
    started += 1;
    const process = FreezableProcess.create(clock);
    const node = NaiveConfigurationNode.create(
      process.gateStore(store.client(nodeId)),
      process.gateVmList({ list: () => Promise.resolve(Right(vms)) }),
      process.clock,
    );
    running.set(nodeId, { count: started, process, node });
  };
  for (const nodeId of nodeIds) {
    start(nodeId);
  }
  const commit = (changes: readonly Change[]): Promise<boolean> => naiveCommit(operator, changes);
  return {
    random: fixture.random,
    now: () => clock.monotonicMs(),
    after: clock.after,
    nodes: () =>
      [...running.entries()].map(([nodeId, { count, process, node }]) => ({
        nodeId,
        startNumber: count,
        isFrozen: process.isFrozen,
        acceptsWork: () => true,
        revision: () => node.configuration().revision,
        hasDataCentre: (dataCentre) => Object.hasOwn(node.configuration().dataCentres, dataCentre),
        routesTo: (dataCentre) => !node.withdrawnDataCentres().has(dataCentre),
      })),
    faults: store.faults,
    setStoreCut: store.setDisconnected,
    setLinkCut: () => undefined,
    freeze: (nodeId) => running.get(nodeId)?.process.freeze(),
    wake: (nodeId) => running.get(nodeId)?.process.wake(),
    kill: (nodeId) => {
      running.get(nodeId)?.process.kill();
      running.get(nodeId)?.node.close();
      running.delete(nodeId);
    },
    restart: (nodeId) => {
      start(nodeId);
      return Promise.resolve();
    },
    commit: (_, changes) => commit(changes),
    withdraw: async (_, dataCentre) => {
      const changes = [{ kind: 'withdraw-data-centre', id: dataCentre }] as const;
      while (!(await commit(changes))) {
        // The naive operator retries on any failure.
      }
      return true;
    },
    setVms: (next) => {
      vms = next;
    },
    run: fixture.run,
    close: () => {
      for (const { node } of running.values()) {
        node.close();
      }
      return Promise.resolve();
    },
  };
};

export const ConfigurationSystem = {
  create: (policy: Policy, seed: number): Promise<ConfigurationSystem> =>
    policy === 'naive' ? createNaive(seed) : createCurrent(seed),
};
