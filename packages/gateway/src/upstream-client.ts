import type { Failure } from '@zinniagrade/errors';
import type { EngineLoad, ServiceLoad, Upstream } from '@zinniagrade/serving';
import type { Either } from 'purify-ts';
import type { CallerRequest } from './caller-request.js';

/** A copy of a run's memory, from which the engine that holds it can continue the run. */
export interface RunCopy {
  /** Reference in the upstream protocol: an address and the handle of the copy. */
  readonly reference: string;
}

/** One request to be sent to one upstream. */
export interface UpstreamRequest {
  readonly upstream: Upstream;
  readonly request: CallerRequest;
  readonly body: Buffer;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  readonly account?: string;
  /** Priority at an engine, 0 (highest) to 9. */
  readonly priority?: number;
  /** Continues the run from this copy instead of starting a new one. */
  readonly copy?: RunCopy;
  /** Id of the event after which a stream begins; undefined for its start. */
  readonly afterEvent?: string;
  /** Engine that keeps a growing copy of the run. */
  readonly backup?: Upstream;
}

export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, to be sent to the caller. */
  readonly headers: readonly string[];
  /** Whether the upstream states that it did not execute the request. */
  readonly notExecuted: boolean;
  /** Whether the response carries the id of the request that was sent. */
  readonly matchesRequest: boolean;
  /** Whether the response carries the upstream's seal, by which it confirms the response. */
  readonly sealed: boolean;
  /** Whether the body has no stated end, so that it ends with the connection. */
  readonly endsWithConnection: boolean;
  /** Whether the upstream closes the connection after this response. */
  readonly closesConnection: boolean;
  /** Whether the upstream states that it is leaving. */
  readonly leaving: boolean;
  readonly load?: ServiceLoad;
  /** Requests per second that the upstream takes from all nodes together, if it states a limit. */
  readonly requestsPerSecond?: number;
  /** Time for which an upstream that refuses the request wants no other one of this node. */
  readonly retryAfterMs?: number;
  /** Time for which the upstream is cold; 0 if it states that it is warm. */
  readonly coldMs?: number;
}

export interface ExchangeFailure {
  /** False only if no byte of the request can have left the node. */
  readonly possiblySent: boolean;
  readonly reason: string;
  /** Whether no connection to the upstream opened. */
  readonly isUnreached?: boolean;
  /** Whether the upstream closed the connection, in order and before the end of its response. */
  readonly isClosedInOrder?: boolean;
}

/**
 * Callbacks of an exchange, in this order; the last call is `onEnd` or `onFailure`, exactly once.
 */
export interface ExchangeEvents {
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (bytes: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

export interface Exchange {
  /** Closes the connection, which tells the upstream to stop. No callback is called afterwards. */
  readonly abort: () => void;
}

/** Result of copying a run to another engine. */
export type CopyOutcome =
  | { readonly outcome: 'copied'; readonly copy: RunCopy; readonly events: number }
  /**
   * The copy did not arrive at the target; a run that was stopped can continue at its engine from
   * `copy`.
   */
  | { readonly outcome: 'no-room'; readonly copy?: RunCopy }
  | { readonly outcome: 'no-such-run' }
  | { readonly outcome: 'busy' }
  | {
      readonly outcome: 'unreachable';
      readonly failure: Failure;
      /** Whether nothing listens at the upstream's address, so that its runs have ended with it. */
      readonly processEnded: boolean;
    };

/** Client for upstreams, with one implementation per upstream protocol. */
export interface UpstreamClient {
  readonly send: (send: UpstreamRequest, events: ExchangeEvents) => Exchange;
  /** Whether a new connection to the upstream opens. Nothing is sent on it, and it is closed at once. */
  readonly canConnect: (upstream: Upstream) => Promise<boolean>;
  readonly readEngineLoad: (upstream: Upstream) => Promise<Either<Failure, EngineLoad>>;
  /** Ids of the requests that an engine works on, as of some hundred milliseconds ago. */
  readonly listRuns: (upstream: Upstream) => Promise<Either<Failure, readonly string[]>>;
  /**
   * Copies a run's memory to another engine; with `stop`, stops the run first, over a connection of
   * its own.
   */
  readonly copyRun: (
    source: Upstream,
    requestId: string,
    target: Upstream,
    stop: boolean,
    timeoutMs: number,
  ) => Promise<CopyOutcome>;
  /** Frees a copy that will not be used. */
  readonly dropCopy: (source: Upstream, copy: RunCopy) => void;
  /** Reference to the backup of a run that an engine keeps. */
  readonly backupOf: (holder: Upstream, requestId: string) => RunCopy;
  /** Limits the connections of this node to each upstream of a service. */
  readonly limitConnections: (service: string, limit: number) => void;
  /** Closes idle connections to all other addresses. */
  readonly closeIdleExcept: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}
