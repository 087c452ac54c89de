import type { MemoryCurve } from '@zinniagrade/length-estimates';
import { emptyCurve } from '@zinniagrade/length-estimates';
import type {
  UpstreamUsage,
  Milliseconds,
  Service,
  UpstreamId,
  VersionEvidence,
  VersionId,
} from '@zinniagrade/types';
import { LatencyHistogram } from './latency-histogram.js';
import type { MemoryModel } from './memory-model.js';
import type { RunningRequest } from './upstream-use.js';
import { UpstreamUse, addRequest, memoryOf, peakMemoryOf, removeRequest } from './upstream-use.js';
import {
  RouteCounts,
  countBetweenTokens,
  countFirstToken,
  collectEvidence,
} from './version-counts.js';

/** How a request at an upstream ended; `not-run` is not counted. */
export type WorkOutcome = 'completed' | 'failed' | 'not-run';

/** One request in flight at an upstream. */
export interface Work {
  /** Records that tokens, or the answer of a plain call, arrived; `tokens` is the total so far. */
  readonly recordTokens: (nowMs: Milliseconds, tokens: number) => void;
  /** Calls after the first have no effect. */
  readonly finish: (outcome: WorkOutcome) => void;
}

export interface WorkRequest {
  readonly upstream: UpstreamId;
  readonly version: VersionId;
  readonly service: Service;
  readonly route: string;
  readonly promptTokens: number;
  readonly tokensSoFar: number;
  readonly maxTokens: number;
}

/**
 * Counts the requests in flight, and collects the evidence about versions, for the control plane.
 */
export interface WorkMeter {
  readonly start: (request: WorkRequest, nowMs: Milliseconds) => Work;
  readonly requests: (upstream: UpstreamId) => number;
  readonly memory: (upstream: UpstreamId, nowMs: Milliseconds) => MemoryCurve;
  /** Records a request that the limit for the upstream did not allow. */
  readonly recordUnmetDemand: (
    upstream: UpstreamId,
    requestId: string,
    memoryTokens: number,
  ) => void;
  readonly totalRequests: () => number;
  readonly collectInFlight: () => readonly UpstreamUsage[];
  readonly collectVersionEvidence: () => readonly VersionEvidence[];
}

interface UpstreamCounts {
  readonly use: UpstreamUse;
  /** Memory of the requests without room, by id, so that a retried request counts once. */
  readonly unmetDemand: Map<string, number>;
  completed: number;
  failed: number;
  readonly firstTokenTimes: LatencyHistogram;
  readonly tokenGaps: LatencyHistogram;
}

const reportedQuantile = 0.95;

const createUpstreamCounts = (): UpstreamCounts => ({
  use: UpstreamUse.create(),
  unmetDemand: new Map(),
  completed: 0,
  failed: 0,
  firstTokenTimes: LatencyHistogram.create(),
  tokenGaps: LatencyHistogram.create(),
});

const collectReport = (
  upstream: UpstreamId,
  counts: UpstreamCounts,
  memoryTokens: number,
): UpstreamUsage => {
  const firstTokenMs = counts.firstTokenTimes.collectQuantile(reportedQuantile);
  const betweenTokensMs = counts.tokenGaps.collectQuantile(reportedQuantile);
  const requests = counts.use.running.size;
  const unmetMemory = [...counts.unmetDemand.values()].reduce((sum, tokens) => sum + tokens, 0);
  const report: UpstreamUsage = {
    upstream,
    requests,
    memoryTokens,
    wantedRequests: counts.unmetDemand.size,
    wantedMemoryTokens: unmetMemory,
    completed: counts.completed,
    failed: counts.failed,
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    ...(betweenTokensMs === undefined ? {} : { betweenTokensMs }),
  };
  counts.completed = 0;
  counts.failed = 0;
  counts.unmetDemand.clear();
  return report;
};

const startWork = (
  counts: UpstreamCounts,
  route: RouteCounts,
  model: MemoryModel,
  request: RunningRequest,
  startedAt: Milliseconds,
): Work => {
  let firstTokenAt = startedAt;
  let lastTokenAt: Milliseconds | undefined;
  let gapCount = 0;
  let isFinished = false;
  addRequest(counts.use, model, request);
  return {
    recordTokens: (nowMs, tokens) => {
      request.tokensSoFar = tokens;
      if (lastTokenAt === undefined) {
        firstTokenAt = nowMs;
        counts.firstTokenTimes.add(nowMs - startedAt);
        countFirstToken(route, nowMs - startedAt);
      } else {
        gapCount += 1;
        counts.tokenGaps.add(nowMs - lastTokenAt);
      }
      lastTokenAt = nowMs;
    },
    finish: (outcome) => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      removeRequest(counts.use, model, request, outcome === 'completed');
      if (outcome === 'not-run') {
        return;
      }
      route.hasNewCounts = true;
      // Counts one value per answer, the mean gap: the gaps of one stream are correlated, and a
      // test that treats them as independent samples classifies a good version as bad.
      if (lastTokenAt !== undefined && gapCount > 0) {
        countBetweenTokens(route, (lastTokenAt - firstTokenAt) / gapCount);
      }
      if (outcome === 'completed') {
        counts.completed += 1;
        route.succeeded += 1;
      } else {
        counts.failed += 1;
        route.failed += 1;
      }
    },
  };
};

export const WorkMeter = {
  create: (model: MemoryModel, nowMs: () => Milliseconds): WorkMeter => {
    const upstreams = new Map<UpstreamId, UpstreamCounts>();
    const routes = new Map<string, RouteCounts>();
    const countsOf = (upstream: UpstreamId): UpstreamCounts => {
      const counts = upstreams.get(upstream) ?? createUpstreamCounts();
      upstreams.set(upstream, counts);
      return counts;
    };
    const routeOf = ({ version, service, route }: WorkRequest): RouteCounts => {
      const key = JSON.stringify([version, service.id, route]);
      const counts = routes.get(key) ?? RouteCounts.create(version, service.id, route);
      routes.set(key, counts);
      return counts;
    };
    return {
      start: (request, startedAt) => {
        const { service, promptTokens, tokensSoFar, maxTokens } = request;
        const running: RunningRequest = {
          ...(service.kind === 'generation' ? { service } : {}),
          promptTokens,
          maxTokens,
          tokensSoFar,
          learnedTokens: tokensSoFar,
          curve: emptyCurve,
        };
        return startWork(countsOf(request.upstream), routeOf(request), model, running, startedAt);
      },
      requests: (upstream) => upstreams.get(upstream)?.use.running.size ?? 0,
      memory: (upstream, atMs) => memoryOf(countsOf(upstream).use, model, atMs),
      recordUnmetDemand: (upstream, requestId, memoryTokens) => {
        countsOf(upstream).unmetDemand.set(requestId, memoryTokens);
      },
      totalRequests: () =>
        [...upstreams.values()].reduce((total, { use }) => total + use.running.size, 0),
      collectInFlight: () => {
        const reports: UpstreamUsage[] = [];
        for (const [upstream, counts] of upstreams) {
          const memoryTokens = peakMemoryOf(counts.use, model, nowMs());
          const report = collectReport(upstream, counts, memoryTokens);
          const { requests, wantedRequests, completed, failed } = report;
          if (requests + wantedRequests + completed + failed > 0) {
            reports.push(report);
          } else {
            upstreams.delete(upstream);
          }
        }
        return reports;
      },
      collectVersionEvidence: () =>
        [...routes.values()].filter(({ hasNewCounts }) => hasNewCounts).map(collectEvidence),
    };
  },
};
