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
import type { Breach } from './many-seeds.js';

/** A fault of one connection to an engine, before its line with index `at`. */
export interface StreamFault {
  readonly kind: 'cut' | 'stall' | 'repeat' | 'drop' | 'foreign' | 'lose-generation';
  readonly at: number;
  /** Of a stall. */
  readonly forMs: number;
}

export interface StreamHistory {
  readonly tokens: number;
  /** The n-th connection has the n-th fault; later ones have none. */
  readonly faults: readonly StreamFault[];
  /** Share of the flushes after which the caller reads no more for a while. */
  readonly slowShare: number;
}

const gapMs = 20;
const latencyMs = 3;
const idleMs = 200;
const slowMs = 50;
const horizonMs = 20_000;

/** What the caller of one stream has received. */
interface Received {
  readonly tokens: { readonly generation: string; readonly index: number; readonly text: string }[];
  end: 'none' | 'complete' | 'failed';
}

/** Engines that hold their generations, reached over connections with faults. */
const createEngines = (clock: VirtualClock, { tokens, faults }: StreamHistory): UpstreamClient => {
  const startedAt = new Map<string, number>();
  let connections = 0;

  const open = (generation: string, from: number, reader: GenerationListener): Exchange => {
    const fault = faults[connections];
    connections += 1;
    let isOpen = true;
    let isPaused = false;
    let isReported = false;
    let next = from;
    let heldUntil = 0;
    let silentSince = clock.monotonicMs();
    const close = (): void => {
      isOpen = false;
      stop();
    };
    const brokenBy = (kind: 'upstream-failed' | 'upstream-timeout', status?: number): void => {
      close();
      reader.failed(Failure.create(kind, 'the stream broke off'), status);
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
    /** Handles the faults that stop the stream; true when it stopped. */
    const stops = (kind: StreamFault['kind'] | undefined): boolean => {
      if (kind === 'cut' || kind === 'lose-generation') {
        if (kind === 'lose-generation') {
          startedAt.delete(generation);
        }
        brokenBy('upstream-failed', 200);
        return true;
      }
      if (kind === 'stall' && heldUntil === 0) {
        heldUntil = clock.monotonicMs() + (fault?.forMs ?? 0);
      }
      return clock.monotonicMs() < heldUntil;
    };
    const reads = (): boolean => isOpen && !isPaused;
    const tick = (): void => {
      const begun = startedAt.get(generation);
      const now = clock.monotonicMs();
      if (!reads()) {
        return;
      }
      if (begun === undefined) {
        brokenBy('upstream-failed', 404);
        return;
      }
      if (!isReported) {
        isReported = true;
        reader.opened();
      }
      const available = Math.min(tokens, Math.floor((now - begun) / gapMs));
      while (reads() && next < available) {
        const kind = fault?.at === next ? fault.kind : undefined;
        if (stops(kind)) {
          break;
        }
        silentSince = now;
        next += 1;
        deliver(next - 1, kind);
      }
      if (reads() && next === tokens) {
        close();
        reader.end(generation, tokens);
      } else if (reads() && now - silentSince > idleMs) {
        brokenBy('upstream-timeout', 200);
      }
    };
    const stop = clock.every(latencyMs, tick);
    return {
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
        silentSince = clock.monotonicMs();
      },
      close,
    };
  };

  const notUsed = (): never => {
    throw new Error('not used');
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
  const apply = (event: Parameters<typeof stepNaiveRelay>[0]): void => {
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
      apply({ kind: 'chunk', index, text });
    },
    end: () => {
      apply({ kind: 'end' });
    },
    failed: (_failure, status) => {
      apply({ kind: status === 404 ? 'engine-lost' : 'cut' });
    },
  };
  apply({ kind: 'engine-lost' });
  return { drained: () => undefined, callerGone: () => undefined };
};

const breachOf = (received: Received, history: StreamHistory): Breach => {
  const generations = new Set(received.tokens.map(({ text }) => text.split('/')[0]));
  if (generations.size > 1) {
    return 'tokens of two generations were joined';
  }
  const wrong = received.tokens.findIndex(
    ({ index, text }, place) => index !== place || Number(text.split('/')[1]) !== place,
  );
  if (wrong >= 0) {
    return `token ${received.tokens[wrong]?.index ?? 0} came at place ${wrong}`;
  }
  const isLost = history.faults.some(({ kind }) => kind === 'lose-generation');
  if (received.end === 'complete' && received.tokens.length !== history.tokens) {
    return `the stream ended after ${received.tokens.length} of ${history.tokens} tokens`;
  }
  return received.end !== 'complete' && !isLost
    ? `the stream did not end: ${received.end}, ${received.tokens.length} of ${history.tokens} tokens`
    : undefined;
};

/** Plays one stream over failing connections and checks what its caller received. */
export const playStream = (policy: Policy, seed: number, history: StreamHistory): Breach => {
  const clock = Virtual.create();
  const random = Random.create(seed);
  const received: Received = { tokens: [], end: 'none' };
  const client = createEngines(clock, history);
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
      const isSlow = random() < history.slowShare;
      if (isSlow) {
        clock.after(slowMs, () => {
          control.drained();
        });
      }
      return !isSlow;
    },
  };
  const control =
    policy === 'naive' ? startNaive(client, output) : startCurrent(clock, seed, client, output);
  clock.advance(horizonMs);
  return breachOf(received, history);
};
