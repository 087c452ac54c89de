import { commitChangeSet } from '@zinniagrade/configuration';
import { ControlFixture } from '@zinniagrade/control';
import { NaiveConfigurationNode, naiveCommit } from '@zinniagrade/naive';
import type { Change, Configuration, DataCentreId, Milliseconds, NodeId } from '@zinniagrade/types';
import { Right } from 'purify-ts';
import { fleetOf } from './fleet.js';

export interface WorldNode {
  readonly nodeId: NodeId;
  readonly takesWork: () => boolean;
  /** False for a data centre that is withdrawn or not known. */
  readonly sendsTo: (dataCentre: DataCentreId) => boolean;
}

const linkPort = 7000;
/** As in the operator process: a withdrawal that the store has not accepted by then is provisional. */
const patienceMs: Milliseconds = 800;
/** Nodes that the operator process is linked with. */
const operatorLinks = 4;
const naivePauseMs: Milliseconds = 250;

/** A fleet on a virtual clock, and an operator; under either policy. */
export interface ConfigurationWorld {
  readonly now: () => Milliseconds;
  readonly configurations: () => readonly Configuration[];
  readonly nodes: () => readonly WorldNode[];
  readonly setStoreOutage: (isDown: boolean) => void;
  /** Cuts one node off from the store and from all other nodes. */
  readonly cutOff: (nodeId: NodeId, isCut: boolean) => void;
  /** The operator's call; spread provisionally when the store does not answer. */
  readonly withdraw: (operationId: string, dataCentre: DataCentreId) => void;
  /** True when the change was accepted. */
  readonly commit: (operationId: string, changes: readonly Change[]) => Promise<boolean>;
  readonly run: ControlFixture['run'];
  readonly storeUse: () => ReturnType<ControlFixture['store']['usage']>;
  /** Bytes sent to other nodes, by node. */
  readonly sentBytes: () => readonly number[];
  readonly close: () => Promise<void>;
}

const createCurrent = async (
  count: number,
  seed: number,
  stepMs: Milliseconds,
): Promise<ConfigurationWorld> => {
  const nodes = fleetOf(count);
  const fixture = await ControlFixture.create({ seed, nodes, stepMs, joined: true });
  const operator = fixture.store.client('operator');
  const { clock, network } = fixture;
  const link = await network.open('operator', { host: 'operator', port: 1 })({
    onUp: () => undefined,
    onDown: () => undefined,
    onMessage: () => undefined,
  });
  for (const { nodeId } of nodes.slice(0, operatorLinks)) {
    link.dial({ host: nodeId, port: linkPort });
  }
  const spreadProvisionally = (operationId: string, dataCentre: DataCentreId): void => {
    const withdrawal = { operationId, dataCentre, issuedAt: clock.wallMs() };
    for (const { nodeId } of nodes) {
      link.send(nodeId, { kind: 'provisional-withdrawal', withdrawal, settled: false });
    }
  };
  return {
    nodes: () =>
      [...fixture.nodes.values()].map(({ nodeId, control }) => ({
        nodeId,
        takesWork: () => control.view().refusesNewWork === undefined,
        sendsTo: (dataCentre) => {
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
    cutOff: (nodeId, isCut) => {
      network.setPartition((a, b) => isCut && (a === nodeId || b === nodeId));
      fixture.store.setDisconnected(nodeId, isCut);
    },
    withdraw: (operationId, dataCentre) => {
      const cancel = clock.after(patienceMs, () => {
        spreadProvisionally(operationId, dataCentre);
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
    storeUse: fixture.store.usage,
    sentBytes: () => nodes.map(({ nodeId }) => fixture.network.usage(nodeId).sentBytes),
    close: fixture.close,
  };
};

const createNaive = async (
  count: number,
  seed: number,
  stepMs: Milliseconds,
): Promise<ConfigurationWorld> => {
  const { clock, store, run, close } = await ControlFixture.create({ seed, nodes: [], stepMs });
  const vms = { list: () => Promise.resolve(Right([])) };
  const nodes = fleetOf(count).map(({ nodeId }) =>
    NaiveConfigurationNode.create(store.client(nodeId), vms, clock),
  );
  const operator = store.client('operator');
  const ids = fleetOf(count).map(({ nodeId }) => nodeId);
  const withdraw = async (dataCentre: DataCentreId): Promise<void> => {
    while (!(await naiveCommit(operator, [{ kind: 'withdraw-data-centre', id: dataCentre }]))) {
      await new Promise<void>((resolve) => {
        clock.after(naivePauseMs, resolve);
      });
    }
  };
  return {
    nodes: () =>
      nodes.map((node, index) => ({
        nodeId: ids[index] ?? '',
        takesWork: () => true,
        sendsTo: (dataCentre) =>
          Object.hasOwn(node.configuration().dataCentres, dataCentre) &&
          !node.withdrawnDataCentres().has(dataCentre),
      })),
    setStoreOutage: (isDown) => {
      store.faults.outage = isDown;
    },
    cutOff: store.setDisconnected,
    withdraw: (_, dataCentre) => {
      void withdraw(dataCentre);
    },
    now: clock.monotonicMs,
    configurations: () => nodes.map((node) => node.configuration()),
    commit: (_, changes) => naiveCommit(operator, changes),
    run,
    storeUse: store.usage,
    sentBytes: () => nodes.map(() => 0),
    close: async () => {
      for (const node of nodes) {
        node.close();
      }
      await close();
    },
  };
};

export const ConfigurationWorld = {
  create: (
    policy: 'naive' | 'current',
    count: number,
    seed: number,
    stepMs: Milliseconds,
  ): Promise<ConfigurationWorld> =>
    (policy === 'naive' ? createNaive : createCurrent)(count, seed, stepMs),
};
