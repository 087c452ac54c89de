import type { StreamControl, StreamOutput } from '@zinniagrade/caller';
import type { VirtualClock } from '@zinniagrade/clock';
import { Random, VirtualClock as Virtual } from '@zinniagrade/clock';
import {
  DataPath,
  chooseLeastLoaded,
  createStaticControl,
  worstCaseMemoryModel,
  unavailableClaimStore,
} from '@zinniagrade/entry';
import { Failure } from '@zinniagrade/errors';
import { Counters } from '@zinniagrade/logger';
import { stepNaiveRelay } from '@zinniagrade/naive';
import type { Exchange, GenerationListener, UpstreamClient } from '@zinniagrade/upstream';
import type { Policy } from '../proof.js';
import { createConfiguration, createUpstream, nodeSecret } from './fixture.js';
import type { Violation } from './many-seeds.js';

/** A fault of one connection to an engine, injected before the line with index `at`. */
export interface StreamFault {
  readonly kind: 'cut' | 'stall' | 'repeat' | 'drop' | 'foreign' | 'lose-generation';
  readonly at: number;
  /** Duration of a stall. */
  readonly forMs: number;
}

export interface StreamScenario {
  readonly tokens: number;
  /** The n-th connection gets the n-th fault; later connections get none. */
  readonly faults: readonly StreamFault[];
  /** Share of the flushes after which the caller stops reading for a while. */
  readonly slowShare: number;
}

const tokenIntervalMs = 20;
const deliveryIntervalMs = 3;
const idleTimeoutMs = 200;
const slowReaderPauseMs = 50;
const simulatedMs = 20_000;

/** What the caller of one stream has received. */
interface Received {
  readonly tokens: { readonly generation: string; readonly index: number; readonly text: string }[];
  end: 'none' | 'complete' | 'failed';
}

/** A client for simulated engines that keep their generations, over connections with faults. */
const createEngines = (clock: VirtualClock, { tokens, faults }: StreamScenario): UpstreamClient => {
  const startedAt = new Map<string, number>();
  let connections = 0;

  const open = (generation: string, from: number, reader: GenerationListener): Exchange => {
    const fault = faults[connections];
    connections += 1;
    let isOpen = true;
    let isPaused = false;
    let hasOpened = false;
    let next = from;
    let stalledUntil = 0;
    let idleSince = clock.monotonicMs();
    const close = (): void => {
      isOpen = false;
      stop();
    };
    const failWith = (kind: 'upstream-failed' | 'upstream-timeout', status?: number): void => {
      close();
      reader.failed(Failure.create(kind, 'the connection to the engine was lost'), status);
    };
    const deliver = (index: number, kind: StreamFault['kind'] | undefined): void => {
      const text = `${generation}/${index}`;
      if (kind === 'foreign') {
        reader.chunk('another', index, `another/${index}`);
      }
      if (kind !== 'drop' && isOpen) {
        reader.chunk(generation, index, text);
      }
      if (kind === 'repeat' && isOpen) {
        reader.chunk(generation, index, text);
      }
      reader.flush();
    };
    /** Applies faults that end or stall the stream; true if nothing can be delivered now. */
    const applyStoppingFault = (kind: StreamFault['kind'] | undefined): boolean => {
      if (kind === 'cut' || kind === 'lose-generation') {
        if (kind === 'lose-generation') {
          startedAt.delete(generation);
        }
        failWith('upstream-failed', 200);
        return true;
      }
      if (kind === 'stall' && stalledUntil === 0) {
        stalledUntil = clock.monotonicMs() + (fault?.forMs ?? 0);
      }
      return clock.monotonicMs() < stalledUntil;
    };
    const isReading = (): boolean => isOpen && !isPaused;
    const tick = (): void => {
      const generationStart = startedAt.get(generation);
      const now = clock.monotonicMs();
      if (!isReading()) {
        return;
      }
      if (generationStart === undefined) {
        failWith('upstream-failed', 404);
        return;
      }
      if (!hasOpened) {
        hasOpened = true;
        reader.opened();
      }
      const available = Math.min(tokens, Math.floor((now - generationStart) / tokenIntervalMs));
      while (isReading() && next < available) {
        const kind = fault?.at === next ? fault.kind : undefined;
        if (applyStoppingFault(kind)) {
          break;
        }
        idleSince = now;
        next += 1;
        deliver(next - 1, kind);
      }
      if (isReading() && next === tokens) {
        close();
        reader.end(generation, tokens);
      } else if (isReading() && now - idleSince > idleTimeoutMs) {
        failWith('upstream-timeout', 200);
      }
    };
    const stop = clock.every(deliveryIntervalMs, tick);
    return {
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
        idleSince = clock.monotonicMs();
      },
      close,
    };
  };

  const notUsed = (): never => {
    throw new Error('not used by this simulation');
  };
  return {
    ...{
      call: notUsed,
      loadReport: notUsed,
      cacheEvents: notUsed,
      sendOrder: notUsed,
      close: notUsed,
    },
    generate: (_address, { generation }, reader) => {
      startedAt.set(generation, clock.monotonicMs());
      return open(generation, 0, reader);
    },
    resume: (_address, generation, from, reader) => open(generation, from, reader),
    cancel: () => new Promise(() => undefined),
  };
};

const startCurrent = (
  clock: VirtualClock,
  seed: number,
  client: UpstreamClient,
  output: StreamOutput,
): StreamControl => {
  const upstreams = [createUpstream('e1', 1, 'engine'), createUpstream('e2', 2, 'engine')];
  const control = createStaticControl({ configuration: createConfiguration(upstreams) });
  const dataPath = DataPath.create({
    ...{ nodeId: 'n1', region: 'r', nodeSecret, control: () => control, client, clock },
    claims: unavailableClaimStore,
    random: Random.create(seed),
    counters: Counters.create('n1'),
    chooseUpstream: chooseLeastLoaded,
    memoryModel: worstCaseMemoryModel,
  });
  const request = { clientAccount: 'acme', service: 'reports', prompt: 'p', restart: false };
  return dataPath.callerApi.generate(request, output);
};

const startNaive = (client: UpstreamClient, output: StreamOutput): StreamControl => {
  const address = { host: '127.0.0.1', port: 1 };
  const order = { service: 'reports', model: 'm', version: 'r1', prompt: 'p', maxTokens: 1_000 };
  let generations = 0;
  const handle = (event: Parameters<typeof stepNaiveRelay>[0]): void => {
    const generation = `g${generations}`;
    const action = stepNaiveRelay(event);
    switch (action.kind) {
      case 'forward':
        output.token('', generation, action.index, action.text);
        break;
      case 'reconnect':
        client.resume(address, generation, 0, reader);
        break;
      case 'start-again':
        generations += 1;
        client.generate(
          address,
          { ...order, generation: `g${generations}`, priority: 0, attempt: 1 },
          reader,
        );
        break;
      case 'end':
        output.end(generation, 0);
    }
  };
  const reader: GenerationListener = {
    opened: () => undefined,
    flush: () => undefined,
    chunk: (_generation, index, text) => {
      handle({ kind: 'chunk', index, text });
    },
    end: () => {
      handle({ kind: 'end' });
    },
    failed: (_failure, status) => {
      handle({ kind: status === 404 ? 'engine-lost' : 'cut' });
    },
  };
  handle({ kind: 'engine-lost' });
  return { drained: () => undefined, callerGone: () => undefined };
};

const findViolation = (received: Received, scenario: StreamScenario): Violation => {
  const generations = new Set(received.tokens.map(({ text }) => text.split('/')[0]));
  if (generations.size > 1) {
    return 'tokens of two generations were joined';
  }
  const mismatch = received.tokens.findIndex(
    ({ index, text }, position) => index !== position || Number(text.split('/')[1]) !== position,
  );
  if (mismatch >= 0) {
    return `token ${received.tokens[mismatch]?.index ?? 0} came at place ${mismatch}`;
  }
  const isLost = scenario.faults.some(({ kind }) => kind === 'lose-generation');
  if (received.end === 'complete' && received.tokens.length !== scenario.tokens) {
    return `the stream ended after ${received.tokens.length} of ${scenario.tokens} tokens`;
  }
  return received.end !== 'complete' && !isLost
    ? `the stream did not end: ${received.end}, ${received.tokens.length} of ${scenario.tokens} tokens`
    : undefined;
};

/** Simulates one stream over failing connections and checks what its caller received. */
export const simulateStream = (
  policy: Policy,
  seed: number,
  scenario: StreamScenario,
): Violation => {
  const clock = Virtual.create();
  const random = Random.create(seed);
  const received: Received = { tokens: [], end: 'none' };
  const client = createEngines(clock, scenario);
  const output: StreamOutput = {
    token: (_resumeToken, generation, index, text) => {
      received.tokens.push({ generation, index, text });
    },
    restart: () => undefined,
    end: () => {
      received.end = 'complete';
    },
    fail: () => {
      received.end = 'failed';
    },
    flush: () => {
      const isSlow = random() < scenario.slowShare;
      if (isSlow) {
        clock.after(slowReaderPauseMs, () => {
          control.drained();
        });
      }
      return !isSlow;
    },
  };
  const control =
    policy === 'naive' ? startNaive(client, output) : startCurrent(clock, seed, client, output);
  clock.advance(simulatedMs);
  return findViolation(received, scenario);
};
