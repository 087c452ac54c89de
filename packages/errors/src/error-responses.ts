import type { ErrorKind, ExecutionStatus } from '@zinniagrade/types';

/** The response to a caller or an operator for one kind of error. */
export interface ErrorResponse {
  readonly status: number;
  /** gRPC status code for operators. */
  readonly grpcCode: number;
  /** `not-run` only if the kind alone proves that the request has not run. */
  readonly ran: ExecutionStatus;
  /** Whether the caller may send the same request again, at another node or later. */
  readonly retriable: boolean;
  readonly title: string;
}

const grpc = {
  deadlineExceeded: 4,
  internal: 13,
  invalidArgument: 3,
  notFound: 5,
  permissionDenied: 7,
  resourceExhausted: 8,
  failedPrecondition: 9,
  aborted: 10,
  unavailable: 14,
  unauthenticated: 16,
  unknown: 2,
} as const;

const notRun = (
  status: number,
  grpcCode: number,
  retriable: boolean,
  title: string,
): ErrorResponse => ({
  status,
  grpcCode,
  ran: 'not-run',
  retriable,
  title,
});

const mayHaveRun = (status: number, grpcCode: number, title: string): ErrorResponse => ({
  status,
  grpcCode,
  ran: 'unknown',
  retriable: false,
  title,
});

export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  'invalid-request': notRun(400, grpc.invalidArgument, false, 'The request is not valid'),
  unauthenticated: notRun(401, grpc.unauthenticated, false, 'Unknown account or wrong secret'),
  forbidden: notRun(403, grpc.permissionDenied, false, 'The account may not do this'),
  'not-found': notRun(404, grpc.notFound, false, 'Not found'),
  'payload-too-large': notRun(413, grpc.invalidArgument, false, 'The body is too large'),
  'idempotency-key-required': notRun(
    428,
    grpc.failedPrecondition,
    false,
    'The operation is not idempotent and needs an Idempotency-Key',
  ),
  // This request has not run; the first request with the key may have.
  'idempotency-key-reused': notRun(
    422,
    grpc.failedPrecondition,
    false,
    'The Idempotency-Key was used with another request',
  ),
  // The record of an expired key may be dropped, so the first request with the key may have run.
  'idempotency-key-expired': mayHaveRun(410, grpc.failedPrecondition, 'The key has expired'),
  'resume-token-invalid': notRun(400, grpc.invalidArgument, false, 'The resume token is not valid'),
  'account-limit': notRun(429, grpc.resourceExhausted, true, 'The account is at its limit'),
  overloaded: notRun(503, grpc.resourceExhausted, true, 'No capacity within the deadline'),
  'no-upstream': notRun(503, grpc.unavailable, true, 'No upstream serves this now'),
  leaving: notRun(503, grpc.unavailable, true, 'The node is leaving'),
  isolated: notRun(503, grpc.unavailable, true, 'The node is cut off from the others'),
  'store-unavailable': notRun(503, grpc.unavailable, true, 'The store does not answer'),
  'upstream-unreachable': notRun(503, grpc.unavailable, true, 'The upstream was not reached'),
  'upstream-refused': notRun(503, grpc.unavailable, true, 'The upstream refused before any work'),
  'prompt-quarantined': notRun(503, grpc.unavailable, true, 'Engines were lost on such prompts'),
  'request-quarantined': notRun(503, grpc.unavailable, true, 'Upstreams were lost on this request'),
  'upstream-failed': mayHaveRun(502, grpc.unknown, 'The upstream failed'),
  'upstream-timeout': mayHaveRun(504, grpc.deadlineExceeded, 'The upstream did not answer in time'),
  'outcome-unknown': mayHaveRun(502, grpc.unknown, 'Whether the request ran is not known'),
  'generation-lost': mayHaveRun(502, grpc.unknown, 'The generation was lost with its engine'),
  'caller-too-slow': mayHaveRun(502, grpc.resourceExhausted, 'The caller does not read its stream'),
  'request-timeout': notRun(408, grpc.deadlineExceeded, true, 'The request did not arrive in time'),
  'invalid-configuration': notRun(
    400,
    grpc.invalidArgument,
    false,
    'The configuration change is not valid',
  ),
  'revision-conflict': notRun(409, grpc.aborted, true, 'Another change was accepted first'),
  'invalid-settings': notRun(500, grpc.failedPrecondition, false, 'The settings are not valid'),
  'protocol-violation': mayHaveRun(502, grpc.internal, 'A peer broke the protocol'),
  internal: mayHaveRun(500, grpc.internal, 'Internal error'),
};
