import type { FaultPeriod, Observations, SentRequest } from './observations.js';
import type { Violation } from './violation.js';

/** Share of the ordinary requests that must be served beside hostile callers. */
const minServedShare = 0.9;
/** Requests below which a share says nothing. */
const minRequests = 20;
/** Gateways are held to their bounds again this long after another fault. */
const stableWindowMs = 3000;

/** Whether a fault may excuse a request of this kind. */
const isExcuse = ({ kind, calls }: FaultPeriod, request: SentRequest): boolean =>
  kind !== 'hostile-callers' ||
  // Answers that aren't read take the places of the workers that also run these requests.
  (calls === 'unread-answers' && request.kind !== 'text');

/** Ordinary callers are served while hostile ones are connected, where no other fault excuses it. */
export const checkHostileCallers = (observations: Observations): readonly Violation[] => {
  const { faultPeriods, requests, keyRevokedAtMs } = observations;
  const hostilePeriods = faultPeriods.filter(({ kind }) => kind === 'hostile-callers');
  const judged = requests.filter(
    (request) =>
      !keyRevokedAtMs.has(request.key) &&
      hostilePeriods.some(
        (period) =>
          period.gateway === request.gateway &&
          period.fromMs <= request.sentAtMs &&
          request.sentAtMs <= period.toMs,
      ) &&
      !faultPeriods.some(
        (period) =>
          isExcuse(period, request) &&
          period.fromMs <= request.endedAtMs &&
          request.sentAtMs <= period.toMs + stableWindowMs,
      ),
  );
  const served = judged.filter(({ answer }) => answer.status === 200 && answer.complete);
  if (judged.length < minRequests || served.length >= minServedShare * judged.length) {
    return [];
  }
  const statuses = new Map<number, number>();
  for (const { answer } of judged) {
    statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
  }
  const counts = [...statuses].map(([status, count]) => `${String(count)} x ${String(status)}`);
  const detail = `${String(served.length)} of ${String(judged.length)} requests served beside hostile callers (${counts.join(', ')})`;
  return [{ promise: 'serves-beside-hostile-callers', detail }];
};
