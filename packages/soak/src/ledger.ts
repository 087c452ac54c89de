import type {
  CallerResponse,
  RequestKind,
  WorkerRun,
} from '@zinniagrade/platform-adapter/standins';

/** A request as its caller saw it. Times are on the soak's steady clock, in milliseconds. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly key: string;
  readonly gateway: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly answer: CallerResponse;
}

/** A time in which a gateway, or all of them, was disturbed, so that its bounds on time don't hold. */
export interface Disturbance {
  /** Undefined for all gateways. */
  readonly gateway?: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A worker that must get no new request from a time on. */
export interface Withdrawal {
  readonly worker: string;
  readonly fromMs: number;
  /** When it was registered again. */
  toMs: number;
}

/** All that one run of the soak has seen. */
export interface Ledger {
  readonly requests: SentRequest[];
  readonly runs: WorkerRun[];
  readonly disturbances: Disturbance[];
  readonly withdrawals: Withdrawal[];
  /** When each key was taken away. */
  readonly revokedAtMs: Map<string, number>;
  /** Gateways that ended without being told to, once for each time. */
  readonly ownEnds: string[];
  /** From when on no fault happens any more. */
  quietFromMs: number;
}

export const Ledger = {
  create: (): Ledger => ({
    requests: [],
    runs: [],
    disturbances: [],
    withdrawals: [],
    revokedAtMs: new Map(),
    ownEnds: [],
    quietFromMs: Infinity,
  }),
};
