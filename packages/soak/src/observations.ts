import type {
  CallerResponse,
  RequestKind,
  WorkerRun,
  WorkerStatement,
} from '@zinniagrade/platform-adapter/standins';
import type { ProcessRecord } from './gateway-run.js';
import type { HostileCalls } from './hostile-fault-plan.js';

/**
 * A request as its caller saw it. Times are milliseconds of `performance.now()` in the soak
 * process.
 */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly key: string;
  readonly gateway: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly answer: CallerResponse;
}

/** A period in which start-up or a fault exempts one or all gateways from timing bounds. */
export interface TimingExemption {
  /** Absent if the exemption applies to all gateways. */
  readonly gateway?: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A period in which a worker is registered as draining and must get no new requests. */
export interface DrainPeriod {
  readonly worker: string;
  readonly fromMs: number;
  /** When the worker was registered as ready again; infinite until then. */
  toMs: number;
}

/** When a fault was injected, and at which gateway if at one. */
export interface FaultPeriod {
  readonly kind: string;
  readonly gateway?: string;
  /** What hostile callers do. */
  readonly calls?: HostileCalls;
  readonly fromMs: number;
  /** Infinite until the fault has ended. */
  toMs: number;
}

/** Everything that one soak run observed and injected; input of the checks. */
export interface Observations {
  readonly requests: SentRequest[];
  readonly workerRuns: WorkerRun[];
  readonly statements: WorkerStatement[];
  readonly timingExemptions: TimingExemption[];
  readonly drainPeriods: DrainPeriod[];
  readonly faultPeriods: FaultPeriod[];
  /** Time of revocation by API key. */
  readonly keyRevokedAtMs: Map<string, number>;
  /** Every process of every gateway. */
  readonly processes: ProcessRecord[];
  /** When the last fault ended; infinite until then. */
  faultsEndedAtMs: number;
}

export const Observations = {
  create: (): Observations => ({
    requests: [],
    workerRuns: [],
    statements: [],
    timingExemptions: [],
    drainPeriods: [],
    faultPeriods: [],
    keyRevokedAtMs: new Map(),
    processes: [],
    faultsEndedAtMs: Infinity,
  }),
};
