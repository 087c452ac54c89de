import type { IncomingMessage } from 'node:http';
import type { Failure } from '@zinniagrade/errors';
import type { Either } from 'purify-ts';

/** Size of a generation, as stated by the caller. */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /**
   * The caller's estimate of the output length: accurate at the median, but often far off for a
   * single request.
   */
  readonly hintedOutputTokens?: number;
}

/** What a node says of a request that it passes on. */
export interface PassedOnMark {
  readonly by: string;
  /** Upstreams that may have run the request before; they count against the route's attempts. */
  readonly possibleRuns: number;
}

/** A request as received, with the fields that the gateway uses to route and admit it. */
export interface CallerRequest {
  /** Identifies one attempt of the caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query as received. */
  readonly url: string;
  /**
   * Alternating names and values, without hop-by-hop headers and headers that only nodes may set.
   */
  readonly headers: readonly string[];
  /** API key. */
  readonly key?: string;
  /** Timeout of the caller, counted from the arrival of the request. */
  readonly waitsMs?: number;
  readonly prompt?: PromptSize;
  /** Ids of the parts of the prompt that it shares with other requests. */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller has of a stream that it resumes; not validated. */
  readonly lastEventId?: string;
  /**
   * Stated by a node that passed the request on to this one, which must not pass it on again. A
   * caller may state it too, and only harms itself by that.
   */
  readonly passedOn?: PassedOnMark;
}

/** Parses the headers that the caller protocol defines. */
export type ReadCallerRequest = (message: IncomingMessage) => Either<Failure, CallerRequest>;
