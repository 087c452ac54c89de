import { Failure } from '@zinniagrade/errors';

/** Other nodes can serve at once what this one has no time left for. */
const leavingRetryAfterMs = 20;

/** Refuses a request that has not run because this node is shutting down. */
export const createLeavingFailure = (): Failure =>
  Failure.create('leaving', 'this node is shutting down', leavingRetryAfterMs);
