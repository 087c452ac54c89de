import { PerformanceObserver } from 'node:perf_hooks';
import { createStaticControl, startEntry, unavailableClaimStore } from '@zinniagrade/entry';
import { Logger } from '@zinniagrade/logger';
import type { Configuration, Member } from '@zinniagrade/types';
import { childSettings, runChild } from './child.js';

export interface EntryReady {
  readonly port: number;
}

export interface EntryResult {
  /** CPU time divided by the wall time of the window. */
  readonly userCores: number;
  readonly systemCores: number;
  readonly openStreams: number;
  readonly idleMemoryBytes: number;
  readonly memoryBytes: number;
  readonly gcPausesMs: Float64Array;
}

const { configuration } = childSettings() as { readonly configuration: Configuration };

/** Used heap and external memory. The resident set size would include pages that are free again. */
const memoryBytes = (): number => {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

let reports: { readonly openRequests: () => number } = { openRequests: () => 0 };
const entry = await startEntry({
  settings: {
    nodeId: 'n1',
    dataCentre: 'dc1',
    region: 'r1',
    host: '127.0.0.1',
    callerPort: 0,
    nodeSecret: 'a secret for the measurement',
    leaveAcceptMs: 0,
    drainMs: 0,
    engineIdleMs: 10_000,
    callTimeoutMs: 30_000,
  },
  createControl: (dataPathReports, callerPort) => {
    reports = dataPathReports;
    const self: Member = {
      nodeId: 'n1',
      incarnation: 1,
      processIncarnation: 1,
      host: '127.0.0.1',
      callerPort,
      linkPort: 0,
      dataCentre: 'dc1',
      region: 'r1',
      status: 'alive',
    };
    return Promise.resolve(createStaticControl({ configuration, members: [self] }));
  },
  claims: unavailableClaimStore,
  logger: Logger.createSilent(),
});

// The control plane reads these reports twice a second, so the measurement includes that cost.
setInterval(() => {
  entry.reports.collectInFlight();
  entry.reports.collectVersionEvidence();
}, 500);

const pauses: number[] = [];
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    pauses.push(duration);
  }
}).observe({ entryTypes: ['gc'] });

const idleMemoryBytes = memoryBytes();
let startCpu = process.cpuUsage();
let startMs = performance.now();

runChild(
  { port: entry.callerPort } satisfies EntryReady,
  () => {
    startCpu = process.cpuUsage();
    startMs = performance.now();
    pauses.length = 0;
  },
  (): EntryResult => {
    const { user, system } = process.cpuUsage(startCpu);
    const windowUs = 1000 * (performance.now() - startMs);
    return {
      userCores: user / windowUs,
      systemCores: system / windowUs,
      openStreams: reports.openRequests(),
      idleMemoryBytes,
      memoryBytes: memoryBytes(),
      gcPausesMs: Float64Array.from(pauses),
    };
  },
);
