import type { IncomingMessage } from 'node:http';
import type { Failure } from '@zinniagrade/errors';
import type { Either } from 'purify-ts';

/** Size of a generation, as the caller states it. */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; right at the median, often far off. */
  readonly hintedOutputTokens?: number;
}

/** A request as it came, with the parts that the gateway decides by. */
export interface CallerRequest {
  /** One attempt of a caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query as sent. */
  readonly url: string;
  /** Names and values in turn, without those that only concern the connection or that nodes set. */
  readonly headers: readonly string[];
  readonly key?: string;
  /** How long the caller waits, from the arrival of the request. */
  readonly waitsMs?: number;
  readonly prompt?: PromptSize;
}

/** Reads the parts of a request that the caller's protocol defines. */
export type ReadCallerRequest = (message: IncomingMessage) => Either<Failure, CallerRequest>;
