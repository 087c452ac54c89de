import { commitChangeSet } from '@zinniagrade/configuration';
import { ControlFixture } from '@zinniagrade/control';
import { NaiveConfigurationNode, naiveCommit } from '@zinniagrade/naive';
import type { Change, Configuration, DataCentreId, Milliseconds, NodeId } from '@zinniagrade/types';
import { Right } from 'purify-ts';
import { createFleet } from './fleet.js';

export interface SimulatedNode {
  readonly nodeId: NodeId;
  readonly acceptsWork: () => boolean;
  /** False for a data centre that is withdrawn or unknown. */
  readonly routesTo: (dataCentre: DataCentreId) => boolean;
}

const linkPort = 7000;
/**
 * As in the operator process: a withdrawal is sent provisionally if the store has not accepted it
 * by then.
 */
const provisionalAfterMs: Milliseconds = 800;
/** Number of nodes that the operator process has links to. */
const operatorLinkCount = 4;
const naiveRetryMs: Milliseconds = 250;

/** A fleet and an operator on a virtual clock, under either policy. */
export interface ConfigurationSimulation {
  readonly now: () => Milliseconds;
  readonly configurations: () => readonly Configuration[];
  readonly nodes: () => readonly SimulatedNode[];
  readonly setStoreOutage: (isDown: boolean) => void;
  /**
   * Disconnects one node from the store and, under the current policy, from all other nodes; or
   * reconnects it.
   */
  readonly setIsolated: (nodeId: NodeId, isIsolated: boolean) => void;
  /**
   * Withdraws a data centre; under the current policy provisionally if the store does not answer in
   * time.
   */
  readonly withdraw: (operationId: string, dataCentre: DataCentreId) => void;
  /** Resolves to true if the store accepted the changes. */
  readonly commit: (operationId: string, changes: readonly Change[]) => Promise<boolean>;
  readonly run: ControlFixture['run'];
  readonly storeUsage: () => ReturnType<ControlFixture['store']['usage']>;
  /** Bytes that each node has sent to other nodes. */
  readonly sentBytes: () => readonly number[];
  readonly close: () => Promise<void>;
}

const createCurrent = async (
  nodeCount: number,
  seed: number,
  stepMs: Milliseconds,
): Promise<ConfigurationSimulation> => {
  const nodes = createFleet(nodeCount);
  const fixture = await ControlFixture.create({ seed, nodes, stepMs, joined: true });
  const operator = fixture.store.client('operator');
  const { clock, network } = fixture;
  const link = await network.open('operator', { host: 'operator', port: 1 })({
    onUp: () => undefined,
    onDown: () => undefined,
    onMessage: () => undefined,
  });
  for (const { nodeId } of nodes.slice(0, operatorLinkCount)) {
    link.dial({ host: nodeId, port: linkPort });
  }
  const sendProvisionalWithdrawal = (operationId: string, dataCentre: DataCentreId): void => {
    const withdrawal = { operationId, dataCentre, issuedAt: clock.wallMs() };
    for (const { nodeId } of nodes) {
      link.send(nodeId, { kind: 'provisional-withdrawal', withdrawal, settled: false });
    }
  };
  return {
    nodes: () =>
      [...fixture.nodes.values()].map(({ nodeId, control }) => ({
        nodeId,
        acceptsWork: () => control.view().refusesNewWork === undefined,
        routesTo: (dataCentre) => {
          const { configuration, withdrawnDataCentres } = control.view();
          return (
            Object.hasOwn(configuration.dataCentres, dataCentre) &&
            !withdrawnDataCentres.has(dataCentre)
          );
        },
      })),
    setStoreOutage: (isDown) => {
      fixture.store.faults.outage = isDown;
    },
    setIsolated: (nodeId, isIsolated) => {
      network.setPartition((a, b) => isIsolated && (a === nodeId || b === nodeId));
      fixture.store.setDisconnected(nodeId, isIsolated);
    },
    withdraw: (operationId, dataCentre) => {
      const cancel = clock.after(provisionalAfterMs, () => {
        sendProvisionalWithdrawal(operationId, dataCentre);
      });
      const changes = [{ kind: 'withdraw-data-centre', id: dataCentre }] as const;
      void commitChangeSet(operator, { operationId, changes }, { clock })
        .run()
        .then((result) => result.ifRight(cancel));
    },
    now: clock.monotonicMs,
    configurations: () =>
      [...fixture.nodes.values()].map(({ control }) => control.view().configuration),
    commit: async (operationId, changes) =>
      (await commitChangeSet(operator, { operationId, changes }, { clock }).run()).isRight(),
    run: fixture.run,
    storeUsage: fixture.store.usage,
    sentBytes: () => nodes.map(({ nodeId }) => fixture.network.usage(nodeId).sentBytes),
    close: fixture.close,
  };
};

const createNaive = async (
  nodeCount: number,
  seed: number,
  stepMs: Milliseconds,
): Promise<ConfigurationSimulation> => {
  const { clock, store, run, close } = await ControlFixture.create({ seed, nodes: [], stepMs });
  const vms = { list: () => Promise.resolve(Right([])) };
  const nodes = createFleet(nodeCount).map(({ nodeId }) =>
    NaiveConfigurationNode.create(store.client(nodeId), vms, clock),
  );
  const operator = store.client('operator');
  const nodeIds = createFleet(nodeCount).map(({ nodeId }) => nodeId);
  const withdraw = async (dataCentre: DataCentreId): Promise<void> => {
    while (!(await naiveCommit(operator, [{ kind: 'withdraw-data-centre', id: dataCentre }]))) {
      await new Promise<void>((resolve) => {
        clock.after(naiveRetryMs, resolve);
      });
    }
  };
  return {
    nodes: () =>
      nodes.map((node, index) => ({
        nodeId: nodeIds[index] ?? '',
        acceptsWork: () => true,
        routesTo: (dataCentre) =>
          Object.hasOwn(node.configuration().dataCentres, dataCentre) &&
          !node.withdrawnDataCentres().has(dataCentre),
      })),
    setStoreOutage: (isDown) => {
      store.faults.outage = isDown;
    },
    setIsolated: store.setDisconnected,
    withdraw: (_, dataCentre) => {
      void withdraw(dataCentre);
    },
    now: clock.monotonicMs,
    configurations: () => nodes.map((node) => node.configuration()),
    commit: (_, changes) => naiveCommit(operator, changes),
    run,
    storeUsage: store.usage,
    sentBytes: () => nodes.map(() => 0),
    close: async () => {
      for (const node of nodes) {
        node.close();
      }
      await close();
    },
  };
};

export const ConfigurationSimulation = {
  create: (
    policy: 'naive' | 'current',
    nodeCount: number,
    seed: number,
    stepMs: Milliseconds,
  ): Promise<ConfigurationSimulation> =>
    (policy === 'naive' ? createNaive : createCurrent)(nodeCount, seed, stepMs),
};
