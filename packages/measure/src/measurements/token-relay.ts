import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Configuration, Upstream } from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';
import type { Figures, Measurement } from '../measurement.js';
import { percentile } from '../measurement.js';
import type { CallerResult, CallerSettings, Samples } from '../token-relay/caller-process.js';
import { startChild } from '../token-relay/child.js';
import type { EngineSettings, EnginesReady } from '../token-relay/engine-process.js';
import type { EntryReady, EntryResult } from '../token-relay/entry-process.js';

/** Load of one node at the size that the system is designed for. */
const relayedStreams = 1_120;
const tokenIntervalMs = 68;
const requestsPerSecond = 60;
const tokensPerStream = Math.round((relayedStreams / requestsPerSecond) * (1000 / tokenIntervalMs));

const engines = 16;
const engineProcesses = 2;
const callerProcesses = 4;
const directStreams = 224;
const rampMs = 2_000;
/** Long enough for just-in-time compilation to finish before the measurement. */
const settleMs = 6_000;
const windowMs = 8_000;
const secret = 'measure';

const processModule = (name: string): URL => new URL(`../token-relay/${name}.js`, import.meta.url);

const createConfiguration = (ports: readonly number[]): Configuration => {
  const upstreams = ports.map((port, index): Upstream => ({
    id: `engine-${index}`,
    kind: 'engine',
    dataCentre: 'dc1',
    host: '127.0.0.1',
    port,
    services: ['reports'],
    version: 'v1',
    capacity: { slots: relayedStreams, memoryTokens: 100_000_000 },
    coldSlots: 1,
    refusesOldFencingTokens: true,
    state: 'in-service',
  }));
  return {
    ...emptyConfiguration,
    revision: 1,
    dataCentres: { dc1: { id: 'dc1', region: 'r1', state: 'in-service' } },
    services: {
      reports: {
        id: 'reports',
        kind: 'generation',
        class: 'long-generation',
        model: 'm1',
        version: 'v1',
        operations: [],
        firstAnswerDeadlineMs: 1_600,
      },
    },
    upstreams: Object.fromEntries(upstreams.map((upstream) => [upstream.id, upstream])),
    clientAccounts: {
      load: {
        id: 'load',
        secretHash: createHash('sha256').update(secret).digest('hex'),
        weight: 1,
        maxOpenStreams: 10_000,
      },
    },
  };
};

const merge = (
  results: readonly CallerResult[],
  path: 'relayed' | 'direct',
  sampleKind: keyof Samples,
): readonly number[] => results.flatMap((result) => [...result[path][sampleKind]]);

const sum = (results: readonly CallerResult[], valueOf: (result: CallerResult) => number): number =>
  results.reduce((total, result) => total + valueOf(result), 0);

const figuresOf = (entry: EntryResult, callers: readonly CallerResult[]): Figures => {
  const ms = (path: 'relayed' | 'direct', sampleKind: keyof Samples, fraction: number): number =>
    percentile(merge(callers, path, sampleKind), fraction) / 1000;
  const added = (sampleKind: keyof Samples, fraction: number): number =>
    Number((ms('relayed', sampleKind, fraction) - ms('direct', sampleKind, fraction)).toFixed(3));
  const tokens = merge(callers, 'relayed', 'transitUs').length;
  const streamBytes = (entry.memoryBytes - entry.idleMemoryBytes) / entry.openStreams;
  return {
    cpu_cores: Number((entry.userCores + entry.systemCores).toFixed(3)),
    cpu_system_cores: Number(entry.systemCores.toFixed(3)),
    added_between_tokens_p95_ms: added('gapsUs', 0.95),
    added_between_tokens_p99_ms: added('gapsUs', 0.99),
    added_transit_p50_ms: added('transitUs', 0.5),
    added_transit_p95_ms: added('transitUs', 0.95),
    added_transit_p99_ms: added('transitUs', 0.99),
    direct_between_tokens_p95_ms: ms('direct', 'gapsUs', 0.95),
    direct_between_tokens_p99_ms: ms('direct', 'gapsUs', 0.99),
    tokens_per_second: Math.round((tokens / windowMs) * 1000),
    requests_per_second: Math.round((sum(callers, ({ complete }) => complete) / windowMs) * 1000),
    open_streams_count: entry.openStreams,
    incomplete_streams_count: sum(callers, ({ incomplete }) => incomplete),
    out_of_order_tokens_count: sum(callers, ({ outOfOrder }) => outOfOrder),
    memory_per_stream_kilobytes: Number((streamBytes / 1024).toFixed(1)),
    gc_pause_p99_ms: Number(percentile([...entry.gcPausesMs], 0.99).toFixed(2)),
    gc_pause_longest_ms: Number(Math.max(0, ...entry.gcPausesMs).toFixed(2)),
    gc_share: Number((entry.gcPausesMs.reduce((a, b) => a + b, 0) / windowMs).toFixed(4)),
  };
};

/** Runs one entry process between engines and callers, each in separate processes. */
const run = async (seed: number): Promise<Figures> => {
  const engineHosts = await Promise.all(
    Array.from({ length: engineProcesses }, (_, index) =>
      startChild<EnginesReady, unknown>(processModule('engine-process'), {
        seed: seed * 100 + index,
        engines: engines / engineProcesses,
        tokenIntervalMs,
      } satisfies EngineSettings),
    ),
  );
  const enginePorts = engineHosts.flatMap(({ ready }) => ready.ports);
  // For example --cpu-prof, to profile the entry process.
  const entryOptions = process.env.TOKEN_RELAY_ENTRY_OPTIONS?.split(' ') ?? [];
  const entry = await startChild<EntryReady, EntryResult>(
    processModule('entry-process'),
    { configuration: createConfiguration(enginePorts) },
    entryOptions,
  );
  const callers = await Promise.all(
    Array.from({ length: callerProcesses }, (_, index) =>
      startChild<unknown, CallerResult>(processModule('caller-process'), {
        seed: seed * 1000 + index,
        entryPort: entry.ready.port,
        authorization: `Bearer load.${secret}`,
        enginePorts,
        relayed: relayedStreams / callerProcesses,
        direct: directStreams / callerProcesses,
        tokensPerStream,
        rampMs,
      } satisfies CallerSettings),
    ),
  );
  await sleep(rampMs + settleMs);
  for (const child of [entry, ...callers]) {
    child.begin();
  }
  await sleep(windowMs);
  const [entryResult, ...results] = await Promise.all([
    entry.finish(),
    ...callers.map((caller) => caller.finish()),
  ] as const);
  for (const child of [...callers, entry, ...engineHosts]) {
    await child.stop();
  }
  return figuresOf(entryResult, results);
};

export const measurement: Measurement = {
  name: 'token-relay',
  policies: ['current'],
  defaultSeeds: 10,
  run: async ({ seed }) => [await run(seed)],
};
