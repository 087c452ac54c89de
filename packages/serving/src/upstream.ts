/**
 * A registered upstream. The id identifies one start of it; an address may be reused by another.
 */
export interface Upstream {
  readonly id: string;
  /** Start of its process, in Unix milliseconds, if stated; a restart may keep the id. */
  readonly bornAtMs?: number;
  readonly service: string;
  /** As IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  /** Software version. */
  readonly version: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Remaining time of the cold phase, counted from the last change of the registration. */
  readonly coldLeftMs: number;
}

/** Load of an engine, a few hundred milliseconds old at the time of the query. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Memory that cannot be freed: running requests, backup copies, reservations. */
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly leaving: boolean;
  /** Time until it stops, if known. */
  readonly leavesInMs?: number;
}

/** Load of a plain upstream at the time of its last response. */
export interface ServiceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times longer than usual work takes there now, if stated. */
  readonly pace?: number;
}
