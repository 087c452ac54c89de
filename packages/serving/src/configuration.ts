/** The configuration that the gateway applies: always the newest version written by an operator. */

/** Idempotent requests may be retried after they have run; all others run at most once. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that a route sends requests to, weighted among the targets of the route. */
export interface Target {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Time limit for the complete response. */
  readonly timeoutMs: number;
  /** Latency objective: time to the complete response, or to the first event of a stream. */
  readonly goalMs: number;
  /** Latency objective for the gap between two events of a stream. */
  readonly gapGoalMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly Target[];
  /** Maximum number of upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without an API key. */
  readonly anonymous: boolean;
  /**
   * Whether a stream may run again after its last event that the caller has, at any upstream. Such
   * a stream is idempotent.
   */
  readonly resumable: boolean;
}

/** Properties of the model engines of a service. */
export interface Engine {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Memory for prompts and output, in tokens. */
  readonly memoryTokens: number;
  /** Bytes of engine memory per token. */
  readonly tokenBytes: number;
  /** Bandwidth of the link between engines, in megabits per second. */
  readonly linkMbps: number;
  /** Number of output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running request can be migrated to another engine. */
  readonly movable: boolean;
  /** Whether the memory of a running request can be replicated to another engine as it grows. */
  readonly supportsBackups: boolean;
  /** How long an engine keeps an unused copy. */
  readonly copyLifeMs: number;
}

/** Limits for the number of upstreams of a service in each data centre. */
export interface Scaling {
  readonly min: number;
  readonly max: number;
  /** Time from an order until a new upstream serves. */
  readonly bootMs: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one upstream accepts from all nodes together. */
  readonly maxConnections: number;
  /** Requests per second that a cold upstream can serve; 0 if there is no cold start. */
  readonly coldPerSecond: number;
  readonly engine?: Engine;
  /** Set if the number of upstreams may be changed; a text says why the limits can't be used. */
  readonly scaling?: Scaling | string;
}

export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** If empty, requests need no API key. */
  readonly clientAccounts: readonly ClientAccount[];
}
