import type { ClientAccount, Configuration } from '@zinniagrade/types';
import type { PendingRequest } from '@zinniagrade/admission';
import type { ModelRequest } from './workload.js';

/**
 * Expected time from dispatch to the first token (one prefill and one decoding step) or to the
 * answer of a plain call.
 */
const expectedFirstAnswerMs = { generation: 150, plain: 20 };

const weightOf = (account: ClientAccount | undefined): number => account?.weight ?? 1;

export const poolOf = (request: ModelRequest): string =>
  request.service.model ?? request.service.id;

/** Converts a request of the model into the form that admission control takes. */
export const pendingRequestOf = (
  request: ModelRequest,
  configuration: Configuration,
  cost: number,
): PendingRequest => ({
  id: request.id,
  clientAccount: request.clientAccount,
  weight: weightOf(configuration.clientAccounts[request.clientAccount]),
  class: request.service.class,
  pool: poolOf(request),
  cost,
  arrivedAt: request.arrivedAt,
  deadlineAt: request.arrivedAt + request.service.firstAnswerDeadlineMs,
  firstAnswerMs: expectedFirstAnswerMs[request.service.kind],
});
