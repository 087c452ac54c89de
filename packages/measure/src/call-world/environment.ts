import type { VirtualClock } from '@zinniagrade/clock';
import { Random, VirtualClock as Virtual } from '@zinniagrade/clock';
import type { ClaimStore } from '@zinniagrade/entry';
import { Failure } from '@zinniagrade/errors';
import type { Claim } from '@zinniagrade/idempotency';
import type { Configuration, Member, Milliseconds, Upstream } from '@zinniagrade/types';
import type { UpstreamClient } from '@zinniagrade/upstream';
import { Left, Right } from 'purify-ts';
import type { CallNode, CallNodeParts } from './call-node.js';
import { createCurrentNode, createNaiveNode } from './call-node.js';
import type { CallWorldOptions } from './call-world-options.js';

export const nodeCount = 4;
const upstreamCount = 3;
const latencyMs = 5;
export const workMs = 40;
const answerTimeoutMs = 500;
const lateRunMs = 1_500;
const forwardTimeoutMs = 1_500;
const restartMs = 1_000;
const storeTimeoutMs = 300;
/** Time until the other nodes have noticed a death. */
const noticeMs = 3_000;

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

/** One VM: the process that runs there now, and whether it is frozen. */
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
  runs: number;
  answered: boolean;
  /** Every node that was asked said "not run", or was not reached. */
  allNotRun: boolean;
}

const never = new Promise<never>(() => undefined);

/** The environment of the nodes: upstreams, store, and the links between nodes. */
export const createEnvironment = ({ seed, policy, faults }: CallWorldOptions) => {
  const clock: VirtualClock = Virtual.create();
  const random = Random.create(seed);
  const records = new Map<string, CallRecord>();
  const vms: Vm[] = [];
  const claims = new Map<string, Claim>();
  const wait = (ms: Milliseconds): Promise<void> =>
    new Promise((resolve) => clock.after(ms, resolve));
  const hits = (share = 0): boolean => random() < share;

  /** Passes what reaches or leaves a process only while that process runs. */
  const through = async (vm: Vm, incarnation: number): Promise<void> => {
    if (clock.monotonicMs() < vm.frozenUntil) {
      await wait(vm.frozenUntil - clock.monotonicMs());
    }
    if (!vm.isUp || vm.incarnation !== incarnation) {
      await never;
    }
  };

  const run = (given: unknown): void => {
    const record = records.get((given as { readonly id: string }).id);
    if (record !== undefined) {
      record.runs += 1;
    }
  };

  const exchange = async (given: unknown) => {
    await wait(latencyMs);
    if (hits(faults.unreachableShare)) {
      return Left(Failure.create('upstream-unreachable', 'not connected'));
    }
    if (hits(faults.refusedShare)) {
      return Left(Failure.create('upstream-refused', 'full'));
    }
    if (hits(faults.resetShare)) {
      return Left(Failure.create('upstream-failed', 'reset before the call ran'));
    }
    if (hits(faults.lateRunShare)) {
      clock.after(lateRunMs, () => {
        run(given);
      });
      await wait(answerTimeoutMs);
      return Left(Failure.create('upstream-timeout', 'no answer'));
    }
    await wait(workMs * (0.5 + random()));
    run(given);
    await wait(latencyMs);
    return hits(faults.lostReplyShare)
      ? Left(Failure.create('upstream-failed', 'reset after the call ran'))
      : Right({ id: (given as { readonly id: string }).id });
  };

  const createClient = (vm: Vm, incarnation: number): UpstreamClient => {
    const notUsed = (): never => {
      throw new Error('not used');
    };
    return {
      ...{ generate: notUsed, resume: notUsed, cancel: notUsed, loadReport: notUsed },
      ...{ cacheEvents: notUsed, sendOrder: notUsed, close: notUsed },
      call: async (_address, { arguments: given }) => {
        await through(vm, incarnation);
        const answer = await exchange(given);
        await through(vm, incarnation);
        return answer;
      },
    };
  };

  const storeIsDown = (): boolean => {
    const { fromMs, toMs } = faults.storeOutage ?? { fromMs: Infinity, toMs: Infinity };
    return clock.monotonicMs() >= fromMs && clock.monotonicMs() < toMs;
  };

  const createClaims = (vm: Vm, incarnation: number): ClaimStore => ({
    create: async (key, claim) => {
      await through(vm, incarnation);
      await wait(latencyMs);
      if (storeIsDown()) {
        await wait(storeTimeoutMs);
        await through(vm, incarnation);
        return 'unknown';
      }
      const exists = claims.has(key);
      if (!exists) {
        claims.set(key, claim);
      }
      const isLost = hits(faults.lostStoreReplyShare);
      await wait(isLost ? storeTimeoutMs : latencyMs);
      await through(vm, incarnation);
      return isLost ? 'unknown' : exists ? 'exists' : 'created';
    },
    read: async (key) => {
      await through(vm, incarnation);
      await wait(latencyMs);
      const isDown = storeIsDown();
      const found = claims.get(key);
      await wait(isDown ? storeTimeoutMs : latencyMs);
      await through(vm, incarnation);
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
      status: isUp || clock.monotonicMs() - diedAt < noticeMs ? 'alive' : 'gone',
    }));

  const startProcess = (vm: Vm): void => {
    const { incarnation } = vm;
    const parts = {
      nodeId: vm.nodeId,
      processIncarnation: incarnation,
      configuration,
      members,
      client: createClient(vm, incarnation),
      claims: createClaims(vm, incarnation),
      clock,
      random,
      forwardCall: async (...[node, owner, forward]: Parameters<CallNodeParts['forwardCall']>) => {
        await through(vm, incarnation);
        const target = vms.find(({ nodeId }) => nodeId === node);
        if (target === undefined || hits(faults.lostForwardShare)) {
          await wait(forwardTimeoutMs);
          return undefined;
        }
        const answering = (async () => {
          await wait(latencyMs);
          await through(target, owner);
          const message = { kind: 'call-forward', correlationId: 'c', ...forward } as const;
          const answer = await target.node.answerForward(message);
          await through(target, owner);
          return answer;
        })();
        const answer = await Promise.race([answering, wait(forwardTimeoutMs)]);
        await through(vm, incarnation);
        return answer ?? undefined;
      },
    };
    vm.node = policy === 'naive' ? createNaiveNode(parts) : createCurrentNode(parts);
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
    clock.after(restartMs, () => {
      vm.incarnation += nodeCount;
      vm.frozenUntil = 0;
      startProcess(vm);
    });
  };

  return { clock, random, records, vms, wait, hits, through, addVm, kill };
};

export type Environment = ReturnType<typeof createEnvironment>;
