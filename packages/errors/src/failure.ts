import type { ErrorKind, Milliseconds, ExecutionStatus } from '@zinniagrade/types';
import { errorResponses } from './error-responses.js';

/** An error as a value. `detail` says what was found and, if possible, what to do about it. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
  readonly retryAfterMs?: Milliseconds;
}

export const Failure = {
  create: (kind: ErrorKind, detail: string, retryAfterMs?: Milliseconds): Failure =>
    retryAfterMs === undefined ? { kind, detail } : { kind, detail, retryAfterMs },
};

/** The body of an `application/problem+json` response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly kind: ErrorKind;
  readonly ran: ExecutionStatus;
  readonly detail: string;
  readonly retryAfterMs?: Milliseconds;
}

export const Problem = {
  create: (failure: Failure): Problem => {
    const response = errorResponses[failure.kind];
    return {
      type: `urn:zinniagrade:error:${failure.kind}`,
      title: response.title,
      status: response.status,
      kind: failure.kind,
      ran: response.ran,
      detail: failure.detail,
      ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs }),
    };
  },
};
