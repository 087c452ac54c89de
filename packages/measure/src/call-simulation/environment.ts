import type { VirtualClock } from '@zinniagrade/clock';
import { Random, VirtualClock as Virtual } from '@zinniagrade/clock';
import type { ClaimStore } from '@zinniagrade/entry';
import { Failure } from '@zinniagrade/errors';
import type { Claim } from '@zinniagrade/idempotency';
import type { Configuration, Member, Milliseconds, Upstream } from '@zinniagrade/types';
import type { UpstreamClient } from '@zinniagrade/upstream';
import { Left, Right } from 'purify-ts';
import type { CallNode, CallNodeDependencies } from './call-node.js';
import { createCurrentNode, createNaiveNode } from './call-node.js';
import type { CallSimulationOptions } from './call-simulation-options.js';

export const nodeCount = 4;
const upstreamCount = 3;
const linkDelayMs = 5;
export const meanExecutionMs = 40;
const answerTimeoutMs = 500;
const lateExecutionDelayMs = 1_500;
const forwardTimeoutMs = 1_500;
const restartDelayMs = 1_000;
const storeTimeoutMs = 300;
/** Time until the other nodes detect that a process has died. */
const deathDetectionMs = 3_000;

const configuration: Configuration = {
  revision: 1,
  dataCentres: { dc1: { id: 'dc1', region: 'r', state: 'in-service' } },
  services: {
    notes: {
      id: 'notes',
      kind: 'plain',
      class: 'call',
      version: 'v1',
      operations: [{ name: 'issue', idempotent: false }],
      firstAnswerDeadlineMs: 2_000,
    },
  },
  versions: { v1: { id: 'v1', service: 'notes' } },
  upstreams: Object.fromEntries(
    Array.from({ length: upstreamCount }, (_, index): [string, Upstream] => [
      `u${index}`,
      {
        id: `u${index}`,
        kind: 'plain',
        dataCentre: 'dc1',
        host: '127.0.0.1',
        port: 1,
        services: ['notes'],
        version: 'v1',
        capacity: { slots: 1_000, memoryTokens: 0 },
        coldSlots: 1_000,
        refusesOldFencingTokens: true,
        state: 'in-service',
      },
    ]),
  ),
  moves: {},
  clientAccounts: {},
};

/** One VM and the process that runs on it. */
export interface Vm {
  readonly nodeId: string;
  incarnation: number;
  frozenUntil: Milliseconds;
  diedAt: Milliseconds;
  isUp: boolean;
  node: CallNode;
}

export interface CallRecord {
  readonly id: string;
  readonly usesTicket: boolean;
  readonly startedAt: Milliseconds;
  executions: number;
  answered: boolean;
  /** True while every attempt so far was answered with "not run" or never reached a node. */
  allNotRun: boolean;
}

const neverSettles = new Promise<never>(() => undefined);

/** What the nodes run against: upstreams, the store, the links between nodes, and the VMs. */
export const createEnvironment = ({ seed, policy, faults }: CallSimulationOptions) => {
  const clock: VirtualClock = Virtual.create();
  const random = Random.create(seed);
  const records = new Map<string, CallRecord>();
  const vms: Vm[] = [];
  const claims = new Map<string, Claim>();
  const wait = (ms: Milliseconds): Promise<void> =>
    new Promise((resolve) => clock.after(ms, resolve));
  const occurs = (share = 0): boolean => random() < share;

  /** Resolves when the process is not frozen; never resolves if it has ended or been replaced. */
  const untilProcessRuns = async (vm: Vm, incarnation: number): Promise<void> => {
    if (clock.monotonicMs() < vm.frozenUntil) {
      await wait(vm.frozenUntil - clock.monotonicMs());
    }
    if (!vm.isUp || vm.incarnation !== incarnation) {
      await neverSettles;
    }
  };

  const recordExecution = (callArguments: unknown): void => {
    const record = records.get((callArguments as { readonly id: string }).id);
    if (record !== undefined) {
      record.executions += 1;
    }
  };

  const sendCall = async (callArguments: unknown) => {
    await wait(linkDelayMs);
    if (occurs(faults.unreachableShare)) {
      return Left(Failure.create('upstream-unreachable', 'not connected'));
    }
    if (occurs(faults.refusedShare)) {
      return Left(Failure.create('upstream-refused', 'full'));
    }
    if (occurs(faults.resetShare)) {
      return Left(Failure.create('upstream-failed', 'reset before the call ran'));
    }
    if (occurs(faults.lateRunShare)) {
      clock.after(lateExecutionDelayMs, () => {
        recordExecution(callArguments);
      });
      await wait(answerTimeoutMs);
      return Left(Failure.create('upstream-timeout', 'no answer'));
    }
    await wait(meanExecutionMs * (0.5 + random()));
    recordExecution(callArguments);
    await wait(linkDelayMs);
    return occurs(faults.lostReplyShare)
      ? Left(Failure.create('upstream-failed', 'reset after the call ran'))
      : Right({ id: (callArguments as { readonly id: string }).id });
  };

  const createClient = (vm: Vm, incarnation: number): UpstreamClient => {
    const notUsed = (): never => {
      throw new Error('the call simulation supports only the operation "call" of an upstream');
    };
    return {
      ...{ generate: notUsed, resume: notUsed, cancel: notUsed, loadReport: notUsed },
      ...{ cacheEvents: notUsed, sendOrder: notUsed, close: notUsed },
      call: async (_address, { arguments: callArguments }) => {
        await untilProcessRuns(vm, incarnation);
        const answer = await sendCall(callArguments);
        await untilProcessRuns(vm, incarnation);
        return answer;
      },
    };
  };

  const isStoreDown = (): boolean => {
    const { fromMs, toMs } = faults.storeOutage ?? { fromMs: Infinity, toMs: Infinity };
    return clock.monotonicMs() >= fromMs && clock.monotonicMs() < toMs;
  };

  const createClaims = (vm: Vm, incarnation: number): ClaimStore => ({
    create: async (key, claim) => {
      await untilProcessRuns(vm, incarnation);
      await wait(linkDelayMs);
      if (isStoreDown()) {
        await wait(storeTimeoutMs);
        await untilProcessRuns(vm, incarnation);
        return 'unknown';
      }
      const exists = claims.has(key);
      if (!exists) {
        claims.set(key, claim);
      }
      const isLost = occurs(faults.lostStoreReplyShare);
      await wait(isLost ? storeTimeoutMs : linkDelayMs);
      await untilProcessRuns(vm, incarnation);
      return isLost ? 'unknown' : exists ? 'exists' : 'created';
    },
    read: async (key) => {
      await untilProcessRuns(vm, incarnation);
      await wait(linkDelayMs);
      const isDown = isStoreDown();
      const found = claims.get(key);
      await wait(isDown ? storeTimeoutMs : linkDelayMs);
      await untilProcessRuns(vm, incarnation);
      return isDown ? 'unavailable' : found;
    },
  });

  const members = (): readonly Member[] =>
    vms.map(({ nodeId, incarnation, isUp, diedAt }) => ({
      nodeId,
      incarnation,
      processIncarnation: incarnation,
      host: '127.0.0.1',
      callerPort: 1,
      linkPort: 1,
      dataCentre: 'dc1',
      region: 'r',
      status: isUp || clock.monotonicMs() - diedAt < deathDetectionMs ? 'alive' : 'gone',
    }));

  const startProcess = (vm: Vm): void => {
    const { incarnation } = vm;
    const dependencies = {
      nodeId: vm.nodeId,
      processIncarnation: incarnation,
      configuration,
      members,
      client: createClient(vm, incarnation),
      claims: createClaims(vm, incarnation),
      clock,
      random,
      forwardCall: async (
        ...[node, ownerIncarnation, forward]: Parameters<CallNodeDependencies['forwardCall']>
      ) => {
        await untilProcessRuns(vm, incarnation);
        const target = vms.find(({ nodeId }) => nodeId === node);
        if (target === undefined || occurs(faults.lostForwardShare)) {
          await wait(forwardTimeoutMs);
          return undefined;
        }
        const pendingAnswer = (async () => {
          await wait(linkDelayMs);
          await untilProcessRuns(target, ownerIncarnation);
          const message = { kind: 'call-forward', correlationId: 'c', ...forward } as const;
          const answer = await target.node.answerForward(message);
          await untilProcessRuns(target, ownerIncarnation);
          return answer;
        })();
        const answer = await Promise.race([pendingAnswer, wait(forwardTimeoutMs)]);
        await untilProcessRuns(vm, incarnation);
        return answer ?? undefined;
      },
    };
    vm.node = policy === 'naive' ? createNaiveNode(dependencies) : createCurrentNode(dependencies);
    vm.isUp = true;
  };

  const addVm = (index: number): void => {
    const placeholder = undefined as unknown as CallNode;
    const base = { frozenUntil: 0, diedAt: -Infinity, isUp: true, node: placeholder };
    const vm: Vm = { nodeId: `n${index}`, incarnation: index + 1, ...base };
    vms.push(vm);
    startProcess(vm);
  };

  const kill = (vm: Vm): void => {
    vm.isUp = false;
    vm.diedAt = clock.monotonicMs();
    clock.after(restartDelayMs, () => {
      vm.incarnation += nodeCount;
      vm.frozenUntil = 0;
      startProcess(vm);
    });
  };

  return { clock, random, records, vms, wait, occurs, untilProcessRuns, addVm, kill };
};

export type Environment = ReturnType<typeof createEnvironment>;
