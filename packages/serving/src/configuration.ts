/** The configuration in force, as the gateway uses it. Written by operators, newest version only. */

/** What may be repeated: idempotent requests may run again, all others run at most once. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service of a route and its share of the route's requests. */
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
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Latency objective: to the whole answer, for streams to the first event. */
  readonly goalMs: number;
  /** Longest pause between the events of a stream that is still on time. */
  readonly gapGoalMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly Target[];
  /** Number of upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly anonymous: boolean;
}

/** Properties of the model engines of a service. */
export interface Engine {
  /** Requests in one batch. */
  readonly slots: number;
  /** Memory for prompts and output, in tokens. */
  readonly memoryTokens: number;
  /** Bytes of memory that one token takes. */
  readonly tokenBytes: number;
  /** Speed of the link between engines, in megabits a second. */
  readonly linkMbps: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running request can be moved to another engine. */
  readonly movable: boolean;
  /** Whether a run can be copied to another engine as it grows. */
  readonly backups: boolean;
  /** How long an unused copy is kept. */
  readonly copyLifeMs: number;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all nodes together. */
  readonly maxConnections: number;
  /** Requests a second that a cold upstream bears; 0 where upstreams have no cold start. */
  readonly coldPerSecond: number;
  readonly engine?: Engine;
}

export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Replaces the route's rank where it is given. */
  readonly priority?: number;
}

/** What a caller may send, and how long it may take. */
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
  /** Empty where no request needs a key. */
  readonly clientAccounts: readonly ClientAccount[];
}
