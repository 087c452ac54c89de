import {
  expectedBody,
  parseEventStream,
  soakBounds,
  type WorkerRun,
} from '@zinniagrade/platform-adapter/standins';
import type { Observations, SentRequest } from './observations.js';
import { checkHostileCallers } from './hostile-checks.js';
import { checkProcesses } from './process-checks.js';
import type { Violation } from './violation.js';

/** Statuses that assert, without a worker's seal, that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Gateways are held to timing bounds again this long after an exemption ends. */
const stableWindowMs = 3000;
/** Allowance for delays of the soak's own timers and sockets. */
const toleranceMs = 300;
/** Share of requests that must be served once the gateways have had time to recover. */
const minServedShare = 0.9;
/** Time that gateways have to recover after the last fault. */
const maxRecoveryMs = 4000;

const runsByRequest = (observations: Observations): ReadonlyMap<string, readonly WorkerRun[]> => {
  const runs = new Map<string, WorkerRun[]>();
  for (const run of observations.workerRuns) {
    const requestRuns = runs.get(run.requestId) ?? [];
    requestRuns.push(run);
    runs.set(run.requestId, requestRuns);
  }
  return runs;
};

const isExemptFromTiming = (
  observations: Observations,
  gateway: string,
  fromMs: number,
  toMs: number,
): boolean =>
  observations.timingExemptions.some(
    (exemption) =>
      (exemption.gateway === undefined || exemption.gateway === gateway) &&
      exemption.fromMs <= toMs &&
      exemption.toMs + stableWindowMs >= fromMs,
  );

const checkRuns = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  const runs = runsByRequest(observations);
  for (const request of observations.requests) {
    const requestRuns = runs.get(request.id) ?? [];
    const initialRuns = requestRuns.filter(({ continued }) => !continued);
    if (request.kind !== 'read' && initialRuns.length > 1) {
      const detail = `${request.id} ran ${String(initialRuns.length)} times`;
      violations.push({ promise: 'at-most-once', detail });
    }
    const saysNotRun = notRunStatuses.has(request.answer.status) && !request.answer.sealed;
    if (request.kind !== 'read' && saysNotRun && requestRuns.length > 0) {
      const detail = `${request.id} got ${String(request.answer.status)} and ran`;
      violations.push({ promise: 'not-run-is-true', detail });
    }
  }
  return violations;
};

/** A stream may be at two workers for this long while the first one learns that it has to stop. */
const maxOverlapMs = 400;

/** A stream goes on at another worker only once the one before has stopped. */
const checkOverlaps = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  const runs = runsByRequest(observations);
  for (const { id, gateway } of observations.requests) {
    for (const [index, run] of (runs.get(id) ?? []).entries()) {
      const before = (runs.get(id) ?? []).slice(0, index);
      const dueMs = run.atMs + maxOverlapMs + toleranceMs;
      const overlapping = before.find(
        ({ worker, endedAtMs }) => worker !== run.worker && endedAtMs > dueMs,
      );
      if (
        run.continued &&
        overlapping !== undefined &&
        !isExemptFromTiming(observations, gateway, overlapping.atMs, dueMs)
      ) {
        const detail = `${id} went on at ${run.worker} while ${overlapping.worker} worked on it`;
        violations.push({ promise: 'one-worker-at-a-time', detail });
      }
    }
  }
  return violations;
};

const describeWrongAnswer = (request: SentRequest): string | undefined => {
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

const checkAnswers = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  for (const request of observations.requests) {
    const detail = request.answer.status === 200 ? describeWrongAnswer(request) : undefined;
    if (detail !== undefined) {
      violations.push({ promise: 'whole-answer-to-own-request', detail });
    }
  }
  return violations;
};

const checkDraining = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  const requests = new Map(observations.requests.map((request) => [request.id, request]));
  for (const { worker, fromMs, toMs } of observations.drainPeriods) {
    const dueMs = fromMs + soakBounds.drainMs + toleranceMs;
    for (const run of observations.workerRuns) {
      const gateway = requests.get(run.requestId)?.gateway;
      const isLate = run.worker === worker && run.atMs > dueMs && run.atMs < toMs;
      if (
        isLate &&
        gateway !== undefined &&
        !isExemptFromTiming(observations, gateway, fromMs, run.atMs)
      ) {
        const detail = `${run.requestId} reached ${worker} ${String(Math.round(run.atMs - fromMs))} ms after it began to drain`;
        violations.push({ promise: 'leaving-upstream', detail });
      }
    }
  }
  return violations;
};

/** Requests that may reach a worker after its statement, and the time until it has to be known. */
const statementBounds = {
  refuses: { settleMs: 500, maxArrivals: 2 },
  leaves: { settleMs: soakBounds.drainMs, maxArrivals: 0 },
} as const;

interface Arrival {
  readonly requestId: string;
  readonly worker: string;
  readonly atMs: number;
}

/** Each gateway is bound by what a worker has stated in a response to the gateway itself. */
const checkStatements = (observations: Observations): readonly Violation[] => {
  const requests = new Map(observations.requests.map((request) => [request.id, request]));
  const refusals = observations.statements.filter(({ kind }) => kind === 'refuses');
  const arrivals: readonly Arrival[] = [...observations.workerRuns, ...refusals];
  const violations: Violation[] = [];
  for (const { kind, requestId, worker, atMs, untilMs } of observations.statements) {
    const gateway = requests.get(requestId)?.gateway;
    if (gateway === undefined || isExemptFromTiming(observations, gateway, atMs, untilMs)) {
      continue;
    }
    const { settleMs, maxArrivals } = statementBounds[kind];
    const dueMs = atMs + settleMs + toleranceMs;
    const late = arrivals.filter((arrival) => {
      const request = requests.get(arrival.requestId);
      return (
        arrival.worker === worker &&
        request?.gateway === gateway &&
        request.sentAtMs > atMs + settleMs &&
        arrival.atMs > dueMs &&
        arrival.atMs < untilMs
      );
    });
    if (late.length > maxArrivals) {
      const detail = `${String(late.length)} requests of ${gateway} reached ${worker}, which ${kind}`;
      violations.push({ promise: 'keeps-to-statements', detail });
    }
  }
  return violations;
};

const checkApiKeys = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  const runs = runsByRequest(observations);
  for (const { id, key, gateway, sentAtMs, answer } of observations.requests) {
    const revokedAtMs = observations.keyRevokedAtMs.get(key);
    if (revokedAtMs === undefined) {
      if (answer.status === 401 || answer.status === 404) {
        const detail = `${id} got ${String(answer.status)} with a valid key and route`;
        violations.push({ promise: 'configuration-in-force', detail });
      }
      continue;
    }
    const dueMs = revokedAtMs + soakBounds.configurationUpdateMs + toleranceMs;
    const ran = (runs.get(id) ?? []).length > 0;
    if (
      ran &&
      sentAtMs > dueMs &&
      !isExemptFromTiming(observations, gateway, revokedAtMs, sentAtMs)
    ) {
      const detail = `${id} ran ${String(Math.round(sentAtMs - revokedAtMs))} ms after its key was revoked`;
      violations.push({ promise: 'configuration-in-force', detail });
    }
  }
  return violations;
};

/** Once a gateway process has refused a revoked API key, it must not accept it again. */
const checkConfigurationNeverReverts = (observations: Observations): readonly Violation[] => {
  const violations: Violation[] = [];
  const refusedKeys = new Set<string>();
  const requestsBySendTime = [...observations.requests].sort((a, b) => a.sentAtMs - b.sentAtMs);
  for (const { id, key, gateway, answer, sentAtMs } of requestsBySendTime) {
    if (!observations.keyRevokedAtMs.has(key)) {
      continue;
    }
    const gatewayAndKey = `${gateway} ${key}`;
    const isHeldToTiming = !isExemptFromTiming(observations, gateway, sentAtMs, sentAtMs);
    if (answer.status === 401) {
      refusedKeys.add(gatewayAndKey);
    } else if (answer.status === 200 && refusedKeys.has(gatewayAndKey) && isHeldToTiming) {
      violations.push({ promise: 'configuration-never-reverts', detail: `${id} at ${gateway}` });
    }
  }
  return violations;
};

const checkRecovery = (observations: Observations): readonly Violation[] => {
  const lateRequests = observations.requests.filter(
    ({ sentAtMs, key }) =>
      sentAtMs > observations.faultsEndedAtMs + maxRecoveryMs &&
      !observations.keyRevokedAtMs.has(key),
  );
  const served = lateRequests.filter(({ answer }) => answer.status === 200 && answer.complete);
  return lateRequests.length > 0 && served.length < minServedShare * lateRequests.length
    ? [
        {
          promise: 'recovery',
          detail: `${String(served.length)} of ${String(lateRequests.length)} requests served after the last fault`,
        },
      ]
    : [];
};

/** Every broken promise that the observations show. */
export const findViolations = (observations: Observations): readonly Violation[] => [
  ...checkRuns(observations),
  ...checkOverlaps(observations),
  ...checkAnswers(observations),
  ...checkDraining(observations),
  ...checkStatements(observations),
  ...checkApiKeys(observations),
  ...checkConfigurationNeverReverts(observations),
  ...checkRecovery(observations),
  ...checkHostileCallers(observations),
  ...checkProcesses(observations),
];
