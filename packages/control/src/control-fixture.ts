import { Random, VirtualClock } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import type { Failure } from '@zinniagrade/errors';
import { Counters, Logger } from '@zinniagrade/logger';
import { FakeNetwork } from '@zinniagrade/node-link';
import { FakeStore, type Vm } from '@zinniagrade/platform';
import type { Change, Member, Milliseconds, NodeId, Revision } from '@zinniagrade/types';
import { type Either, Right } from 'purify-ts';
import { Control } from './control.js';
import type { ControlDependencies, EventRecorder } from './control-dependencies.js';
import { FreezableProcess } from './freezable-process.js';
import type { DataPathReports, NodeControl } from './node-control.js';

/** Step of the virtual clock. Replies of the store are handled between steps. */
const defaultStepMs: Milliseconds = 10;
const callerPort = 80;
const linkPort = 7000;

export interface FixtureNode {
  readonly nodeId: NodeId;
  readonly dataCentre: string;
  readonly region: string;
}

export interface FixtureControl extends FixtureNode {
  readonly process: FreezableProcess;
  readonly control: NodeControl;
}

export interface FixtureOptions {
  readonly seed: number;
  readonly nodes: readonly FixtureNode[];
  readonly dataPath?: Partial<DataPathReports>;
  /** Reads the load of an upstream; by default every upstream is warm and idle. */
  readonly readLoad?: ControlDependencies['readLoad'];
  readonly stepMs?: Milliseconds;
  /** Whether the nodes know each other from the start. */
  readonly joined?: boolean;
  readonly onEvent?: (node: NodeId, ...event: Parameters<EventRecorder>) => void;
}

/** The control planes of several nodes on one virtual clock, with a fake store and fake links. */
export interface ControlFixture {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly store: FakeStore;
  readonly network: FakeNetwork;
  /** Nodes that were started and have not been killed. */
  readonly nodes: ReadonlyMap<NodeId, FixtureControl>;
  readonly start: (node: FixtureNode) => Promise<FixtureControl>;
  readonly kill: (nodeId: NodeId) => void;
  /** Advances virtual time; `onStep` is called after each step. */
  readonly run: (forMs: Milliseconds, onStep?: () => void) => Promise<void>;
  /**
   * Advances virtual time until the condition holds. Resolves to false if it does not hold within
   * the limit.
   */
  readonly runUntil: (condition: () => boolean, limitMs: Milliseconds) => Promise<boolean>;
  /** Advances virtual time until the promise has settled. */
  readonly advanceUntilDone: <T>(work: Promise<T>) => Promise<T>;
  readonly commit: (
    operationId: string,
    changes: readonly Change[],
  ) => Promise<Either<Failure, Revision>>;
  readonly setVms: (vms: readonly Vm[]) => void;
  readonly close: () => Promise<void>;
}

const idleDataPath: DataPathReports = {
  collectInFlight: () => [],
  collectVersionEvidence: () => [],
  answerForward: () => Promise.resolve({ ok: true, result: null }),
  openRequests: () => 0,
};

const createIdleLoad = (clock: VirtualClock): ControlDependencies['readLoad'] => {
  let sequence = 0;
  return ({ capacity, version }) => {
    sequence += 1;
    const counts = { running: 0, waiting: 0, memoryTokensUsed: 0, preemptions: 0 };
    return Promise.resolve(
      Right({
        sequence,
        at: clock.wallMs(),
        ...counts,
        memoryTokensTotal: capacity.memoryTokens,
        warm: true,
        version,
      }),
    );
  };
};

export const ControlFixture = {
  /** Starts all nodes; the first three are the seeds of the others. */
  create: async (options: FixtureOptions): Promise<ControlFixture> => {
    const clock = VirtualClock.create();
    const random = Random.create(options.seed);
    const store = FakeStore.create(clock, random);
    const network = FakeNetwork.create(clock, random, { minDelayMs: 0.3, maxDelayMs: 3 });
    const nodes = new Map<NodeId, FixtureControl>();
    const operator = store.client('operator');
    let vms: readonly Vm[] = [];
    const seeds = options.nodes.slice(0, 3).map(({ nodeId }) => ({ host: nodeId, port: linkPort }));

    const flushPromises = (): Promise<void> =>
      new Promise((resolve) => {
        setImmediate(resolve);
      });
    const step = async (): Promise<void> => {
      clock.advance(options.stepMs ?? defaultStepMs);
      await flushPromises();
    };

    const startedAt = clock.wallMs();
    const allMembers = options.nodes.map((node): Member => ({
      ...node,
      incarnation: startedAt,
      processIncarnation: startedAt,
      host: node.nodeId,
      callerPort,
      linkPort,
      status: 'alive',
    }));

    const start = async (node: FixtureNode): Promise<FixtureControl> => {
      const process = FreezableProcess.create(clock);
      const control = await Control.create(
        {
          ...node,
          host: node.nodeId,
          callerPort,
          seeds,
          holdMs: 30_000,
          ...(options.joined === true && clock.wallMs() === startedAt
            ? { knownMembers: allMembers.filter(({ nodeId }) => nodeId !== node.nodeId) }
            : {}),
        },
        {
          clock: process.clock,
          random: Random.create(Math.floor(random() * 2 ** 31)),
          logger: Logger.createSilent(),
          counters: Counters.create(node.nodeId),
          event: (...event) => options.onEvent?.(node.nodeId, ...event),
          store: process.gateStore(store.client(node.nodeId)),
          vms: process.gateVmList({ list: () => Promise.resolve(Right(vms)) }),
          openLink: network.open(node.nodeId, { host: node.nodeId, port: linkPort }, process.run),
          dataPath: { ...idleDataPath, ...options.dataPath },
          readLoad: options.readLoad ?? createIdleLoad(clock),
        },
      );
      const started = { ...node, process, control };
      nodes.set(node.nodeId, started);
      return started;
    };

    const advanceUntilDone = async <T>(work: Promise<T>): Promise<T> => {
      const progress = { isDone: false };
      const done = work.finally(() => {
        progress.isDone = true;
      });
      await flushPromises();
      while (!progress.isDone) {
        await step();
      }
      return done;
    };

    for (const node of options.nodes) {
      await start(node);
    }
    return {
      clock,
      random,
      store,
      network,
      nodes,
      start,
      kill: (nodeId) => {
        network.kill(nodeId);
        nodes.get(nodeId)?.process.kill();
        nodes.delete(nodeId);
      },
      run: async (forMs, onStep) => {
        const end = clock.monotonicMs() + forMs;
        while (clock.monotonicMs() < end) {
          await step();
          onStep?.();
        }
      },
      runUntil: async (condition, limitMs) => {
        const end = clock.monotonicMs() + limitMs;
        while (clock.monotonicMs() < end) {
          if (condition()) {
            return true;
          }
          await step();
        }
        return condition();
      },
      advanceUntilDone,
      commit: (operationId, changes) =>
        advanceUntilDone(commitChangeSet(operator, { operationId, changes }, { clock }).run()),
      setVms: (next) => {
        vms = next;
      },
      close: async () => {
        for (const { control } of nodes.values()) {
          await control.close();
        }
      },
    };
  },
};
