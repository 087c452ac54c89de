/** What is registered of an upstream. The id names one start of it, its address may be used again. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software. */
  readonly version: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time that it stays cold, counted from the registration's last change. */
  readonly coldLeftMs: number;
}

/** Load of an engine as it was some hundred milliseconds before it was asked. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Memory that can't be freed: running requests, copies, reservations. */
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly leaving: boolean;
  /** Time until it stops, where it is known. */
  readonly leavesInMs?: number;
}

/** Load of a plain upstream at the time of its last answer. */
export interface ServiceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
