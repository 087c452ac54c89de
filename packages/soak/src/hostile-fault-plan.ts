import type { Random } from '@zinniagrade/clock';

/** What the connections of hostile callers do. */
export type HostileCalls = (typeof hostileCalls)[number];

/** Many connections of hostile callers to one gateway, or hostile bytes from one worker. */
export type HostileFault = { readonly atMs: number; readonly forMs: number } & (
  | {
      readonly kind: 'hostile-callers';
      readonly gateway: number;
      readonly calls: HostileCalls;
      readonly connections: number;
    }
  | { readonly kind: 'cut-heads' | 'repeated-refusals'; readonly worker: number }
);

export interface HostileFaultPlanOptions {
  readonly gatewayCount: number;
  readonly workerCount: number;
  /** All faults begin within this period. */
  readonly faultPeriodMs: number;
}

const hostileCalls = ['stopped-bodies', 'endless-bodies', 'unread-answers', 'idle'] as const;
const minConnections = 200;
const maxConnections = 600;
const minFaultMs = 1000;
const maxFaultMs = 4000;
const meanCallersIntervalMs = 2500;
const meanWorkerIntervalMs = 2500;

/** Draws begins of faults. */
const drawTimes = (random: Random, periodMs: number, meanIntervalMs: number): readonly number[] => {
  const times: number[] = [];
  let atMs = random() * meanIntervalMs;
  while (atMs < periodMs) {
    times.push(atMs);
    atMs += random() * 2 * meanIntervalMs;
  }
  return times;
};

const drawDurationMs = (random: Random): number =>
  minFaultMs + random() * (maxFaultMs - minFaultMs);

/** Draws faults of hostile callers. */
export const planHostileCallers = (
  random: Random,
  { gatewayCount, faultPeriodMs }: HostileFaultPlanOptions,
): readonly HostileFault[] =>
  drawTimes(random, faultPeriodMs, meanCallersIntervalMs).map((atMs) => ({
    kind: 'hostile-callers',
    atMs,
    forMs: drawDurationMs(random),
    gateway: Math.floor(random() * gatewayCount),
    calls: hostileCalls[Math.floor(random() * hostileCalls.length)] ?? 'idle',
    connections: Math.floor(minConnections + random() * (maxConnections - minConnections)),
  }));

/** Draws faults of workers that send hostile bytes. */
export const planHostileWorkers = (
  random: Random,
  { workerCount, faultPeriodMs }: HostileFaultPlanOptions,
): readonly HostileFault[] =>
  drawTimes(random, faultPeriodMs, meanWorkerIntervalMs).map((atMs) => ({
    kind: random() < 1 / 2 ? 'cut-heads' : 'repeated-refusals',
    atMs,
    forMs: drawDurationMs(random),
    worker: Math.floor(random() * workerCount),
  }));
