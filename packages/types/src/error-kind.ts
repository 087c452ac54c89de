/** Every kind of error that the system reports. Package `errors` maps each kind to its response. */
export type ErrorKind =
  | 'invalid-request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'payload-too-large'
  | 'idempotency-key-required'
  | 'idempotency-key-reused'
  | 'idempotency-key-expired'
  | 'resume-token-invalid'
  | 'account-limit'
  | 'overloaded'
  | 'no-upstream'
  | 'leaving'
  | 'isolated'
  | 'store-unavailable'
  | 'upstream-unreachable'
  | 'upstream-refused'
  | 'prompt-quarantined'
  | 'upstream-failed'
  | 'upstream-timeout'
  | 'outcome-unknown'
  | 'generation-lost'
  | 'caller-too-slow'
  | 'request-timeout'
  | 'invalid-configuration'
  | 'revision-conflict'
  | 'invalid-settings'
  | 'protocol-violation'
  | 'internal';

/** `not-run` if the request is known not to have run; `unknown` if it may have run. */
export type ExecutionStatus = 'not-run' | 'unknown';
