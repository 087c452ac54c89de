import {
  expectedBody,
  parseEventStream,
  soakBounds,
  type WorkerRun,
} from '@zinniagrade/platform-adapter/standins';
import type { Ledger, SentRequest } from './ledger.js';

/** A promise that was broken, with the request or worker that shows it. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** Statuses that say the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Gateways are held to bounds on time this long after a disturbance. */
const stableWindowMs = 3000;
/** For the soak's own timers and sockets. */
const slackMs = 300;
/** Share of requests that are served once no fault happens any more. */
const minServedShare = 0.9;
/** Time in which gateways recover after the last fault. */
const recoveryMs = 4000;

const runsByRequest = (ledger: Ledger): ReadonlyMap<string, readonly WorkerRun[]> => {
  const runs = new Map<string, WorkerRun[]>();
  for (const run of ledger.runs) {
    const known = runs.get(run.requestId) ?? [];
    known.push(run);
    runs.set(run.requestId, known);
  }
  return runs;
};

const wasDisturbed = (ledger: Ledger, gateway: string, fromMs: number, toMs: number): boolean =>
  ledger.disturbances.some(
    (disturbance) =>
      (disturbance.gateway === undefined || disturbance.gateway === gateway) &&
      disturbance.fromMs <= toMs &&
      disturbance.toMs + stableWindowMs >= fromMs,
  );

const checkRuns = (ledger: Ledger): readonly Violation[] => {
  const violations: Violation[] = [];
  const runs = runsByRequest(ledger);
  for (const request of ledger.requests) {
    const all = runs.get(request.id) ?? [];
    const first = all.filter(({ continued }) => !continued);
    if (request.kind !== 'read' && first.length > 1) {
      const detail = `${request.id} ran ${String(first.length)} times`;
      violations.push({ promise: 'at-most-once', detail });
    }
    const saysNotRun = notRunStatuses.has(request.answer.status) && !request.answer.sealed;
    if (request.kind !== 'read' && saysNotRun && all.length > 0) {
      const detail = `${request.id} got ${String(request.answer.status)} and ran`;
      violations.push({ promise: 'not-run-is-true', detail });
    }
  }
  return violations;
};

const answerFault = (request: SentRequest): string | undefined => {
  const { answer, id } = request;
  if (request.kind === 'text') {
    const { ids, hasLastEvent } = parseEventStream(answer.body);
    if (ids.some((event, index) => event !== index + 1)) {
      return `${id} got events ${ids.join(',')}`;
    }
    return answer.complete && !hasLastEvent
      ? `${id} ended after ${String(ids.length)} events`
      : undefined;
  }
  return answer.complete && (!answer.sealed || answer.body !== expectedBody(id))
    ? `${id} got ${JSON.stringify(answer.body)}`
    : undefined;
};

const checkAnswers = (ledger: Ledger): readonly Violation[] => {
  const violations: Violation[] = [];
  for (const request of ledger.requests) {
    const detail = request.answer.status === 200 ? answerFault(request) : undefined;
    if (detail !== undefined) {
      violations.push({ promise: 'whole-answer-to-own-request', detail });
    }
  }
  return violations;
};

const checkWithdrawals = (ledger: Ledger): readonly Violation[] => {
  const violations: Violation[] = [];
  const requests = new Map(ledger.requests.map((request) => [request.id, request]));
  for (const { worker, fromMs, toMs } of ledger.withdrawals) {
    const dueMs = fromMs + soakBounds.drainMs + slackMs;
    for (const run of ledger.runs) {
      const gateway = requests.get(run.requestId)?.gateway;
      const isLate = run.worker === worker && run.atMs > dueMs && run.atMs < toMs;
      if (isLate && gateway !== undefined && !wasDisturbed(ledger, gateway, fromMs, run.atMs)) {
        const detail = `${run.requestId} reached ${worker} ${String(Math.round(run.atMs - fromMs))} ms after it left`;
        violations.push({ promise: 'leaving-upstream', detail });
      }
    }
  }
  return violations;
};

const checkKeys = (ledger: Ledger): readonly Violation[] => {
  const violations: Violation[] = [];
  const runs = runsByRequest(ledger);
  for (const { id, key, gateway, sentAtMs, answer } of ledger.requests) {
    const revokedAtMs = ledger.revokedAtMs.get(key);
    if (revokedAtMs === undefined) {
      if (answer.status === 401 || answer.status === 404) {
        const detail = `${id} got ${String(answer.status)} with a valid key and route`;
        violations.push({ promise: 'configuration-in-force', detail });
      }
      continue;
    }
    const dueMs = revokedAtMs + soakBounds.configurationUpdateMs + slackMs;
    const ran = (runs.get(id) ?? []).length > 0;
    if (ran && sentAtMs > dueMs && !wasDisturbed(ledger, gateway, revokedAtMs, sentAtMs)) {
      const detail = `${id} ran ${String(Math.round(sentAtMs - revokedAtMs))} ms after its key was revoked`;
      violations.push({ promise: 'configuration-in-force', detail });
    }
  }
  return violations;
};

/** A gateway that refused a revoked key must not accept it later in the same process. */
const checkNoReturn = (ledger: Ledger): readonly Violation[] => {
  const violations: Violation[] = [];
  const refused = new Set<string>();
  const inOrder = [...ledger.requests].sort((a, b) => a.sentAtMs - b.sentAtMs);
  for (const { id, key, gateway, answer, sentAtMs } of inOrder) {
    if (!ledger.revokedAtMs.has(key)) {
      continue;
    }
    const place = `${gateway} ${key}`;
    const isUndisturbed = !wasDisturbed(ledger, gateway, sentAtMs, sentAtMs);
    if (answer.status === 401) {
      refused.add(place);
    } else if (answer.status === 200 && refused.has(place) && isUndisturbed) {
      violations.push({ promise: 'configuration-never-reverts', detail: `${id} at ${gateway}` });
    }
  }
  return violations;
};

const checkRecovery = (ledger: Ledger): readonly Violation[] => {
  const late = ledger.requests.filter(
    ({ sentAtMs, key }) =>
      sentAtMs > ledger.quietFromMs + recoveryMs && !ledger.revokedAtMs.has(key),
  );
  const served = late.filter(({ answer }) => answer.status === 200 && answer.complete);
  return late.length > 0 && served.length < minServedShare * late.length
    ? [
        {
          promise: 'recovery',
          detail: `${String(served.length)} of ${String(late.length)} requests served after the last fault`,
        },
      ]
    : [];
};

const checkOwnEnds = (ledger: Ledger): readonly Violation[] =>
  ledger.ownEnds.map((gateway) => ({
    promise: 'stays-up',
    detail: `${gateway} ended by itself; its log says why`,
  }));

/** All promises that the ledger breaks. */
export const findViolations = (ledger: Ledger): readonly Violation[] => [
  ...checkRuns(ledger),
  ...checkAnswers(ledger),
  ...checkWithdrawals(ledger),
  ...checkKeys(ledger),
  ...checkNoReturn(ledger),
  ...checkRecovery(ledger),
  ...checkOwnEnds(ledger),
];
