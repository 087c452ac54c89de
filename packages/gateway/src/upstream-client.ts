import type { Failure } from '@zinniagrade/errors';
import type { EngineLoad, ServiceLoad, Upstream } from '@zinniagrade/serving';
import type { Either } from 'purify-ts';
import type { CallerRequest } from './caller-request.js';

/** A copy of a run's memory, from which the run goes on at the engine that holds it. */
export interface RunCopy {
  /** As the upstream protocol names it: the address that the copy is known by, and its handle. */
  readonly reference: string;
}

/** One request to one upstream. */
export interface Send {
  readonly upstream: Upstream;
  readonly request: CallerRequest;
  readonly body: Buffer;
  /** What is left of the caller's time. */
  readonly remainingMs: number;
  readonly account?: string;
  /** Rank at an engine, 0 (first) to 9. */
  readonly rank?: number;
  /** Goes on from a copy after this event instead of starting anew. */
  readonly continuation?: { readonly copy: RunCopy; readonly afterEvent: string | undefined };
  /** Engine that keeps a copy of the run as it grows. */
  readonly backup?: Upstream;
}

export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, for the caller. */
  readonly headers: readonly string[];
  /** The upstream states that it didn't run the request. */
  readonly notRun: boolean;
  /** Whether this is the answer to the request that was sent. */
  readonly matches: boolean;
  /** Whether the upstream vouches for the answer. */
  readonly sealed: boolean;
  /** The upstream closes the connection after this answer. */
  readonly closing: boolean;
  readonly load?: ServiceLoad;
}

export interface ExchangeFailure {
  /** False only where no byte of the request can have left the node. */
  readonly sent: boolean;
  readonly reason: string;
}

/** Called in this order; the last call is either `onEnd` or `onFailure`, once. */
export interface ExchangeEvents {
  readonly onHead: (head: AnswerHead) => void;
  readonly onData: (bytes: Buffer) => void;
  /** The answer is whole. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

export interface Exchange {
  /** Closes the connection, which tells the upstream to stop. No event follows. */
  readonly abort: () => void;
  /** Stops or resumes reading, for a caller that doesn't keep up. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** What came of copying a run to another engine. */
export type CopyOutcome =
  | { readonly outcome: 'copied'; readonly copy: RunCopy; readonly events: number }
  /** The run was stopped, but its copy didn't arrive; it can go on where it ran. */
  | { readonly outcome: 'no-room'; readonly copy?: RunCopy }
  | { readonly outcome: 'no-such-run' }
  | { readonly outcome: 'busy' }
  | { readonly outcome: 'unreachable'; readonly failure: Failure };

/** Speaks to upstreams. One implementation for each protocol of upstreams. */
export interface UpstreamClient {
  readonly send: (send: Send, events: ExchangeEvents) => Exchange;
  readonly engineLoad: (upstream: Upstream) => Promise<Either<Failure, EngineLoad>>;
  /** Copies a run's memory to another engine. With `stop`, the run ends at its engine first. */
  readonly copyRun: (
    source: Upstream,
    requestId: string,
    target: Upstream,
    stop: boolean,
    timeoutMs: number,
  ) => Promise<CopyOutcome>;
  /** Frees a copy that isn't used. */
  readonly dropCopy: (source: Upstream, copy: RunCopy) => void;
  /** The copy that an engine keeps as the backup of a run. */
  readonly backupOf: (holder: Upstream, requestId: string) => RunCopy;
  /** Bounds the connections of this node to each upstream of a service. */
  readonly limitConnections: (service: string, limit: number) => void;
  /** Closes idle connections to addresses other than these. */
  readonly retain: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}
