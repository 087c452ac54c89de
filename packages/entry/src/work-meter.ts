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
import { GapHistogram } from './gap-histogram.js';
import type { MemoryModel } from './memory-model.js';
import type { RunningRequest } from './upstream-use.js';
import { UpstreamUse, addRunning, memoryOf, peakMemoryOf, removeRunning } from './upstream-use.js';
import {
  RouteCounts,
  countBetweenTokens,
  countFirstToken,
  takeEvidence,
} from './version-counts.js';

/** How one piece of work at an upstream ended; `not-run` counts for nothing. */
export type WorkEnd = 'completed' | 'failed' | 'not-run';

/** One request in flight at an upstream. */
export interface Work {
  /** Counts tokens, or the answer of a plain call, that arrived now; `tokens` is their number so far. */
  readonly token: (nowMs: Milliseconds, tokens: number) => void;
  /** Only the first call counts. */
  readonly finish: (end: WorkEnd) => void;
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

/** Counts the work in flight and the evidence that control reads. */
export interface WorkMeter {
  readonly enter: (request: WorkRequest, nowMs: Milliseconds) => Work;
  readonly requests: (upstream: UpstreamId) => number;
  readonly memory: (upstream: UpstreamId, nowMs: Milliseconds) => MemoryCurve;
  /** Notes a request that would have gone to the upstream if a limit had allowed it. */
  readonly want: (upstream: UpstreamId, requestId: string, memoryTokens: number) => void;
  readonly totalRequests: () => number;
  readonly takeInFlight: () => readonly UpstreamUsage[];
  readonly takeVersionEvidence: () => readonly VersionEvidence[];
}

interface UpstreamCounts {
  readonly use: UpstreamUse;
  /** Memory of the requests without room, by id, so that a request that is tried again counts once. */
  readonly unmet: Map<string, number>;
  completed: number;
  failed: number;
  readonly firstToken: GapHistogram;
  readonly betweenTokens: GapHistogram;
}

const p95 = 0.95;

const createUpstreamCounts = (): UpstreamCounts => ({
  use: UpstreamUse.create(),
  unmet: new Map(),
  completed: 0,
  failed: 0,
  firstToken: GapHistogram.create(),
  betweenTokens: GapHistogram.create(),
});

const takeReport = (
  upstream: UpstreamId,
  counts: UpstreamCounts,
  memoryTokens: number,
): UpstreamUsage => {
  const firstTokenMs = counts.firstToken.takeQuantile(p95);
  const betweenTokensMs = counts.betweenTokens.takeQuantile(p95);
  const requests = counts.use.running.size;
  const unmetMemory = [...counts.unmet.values()].reduce((sum, tokens) => sum + tokens, 0);
  const report: UpstreamUsage = {
    upstream,
    requests,
    memoryTokens,
    wantedRequests: counts.unmet.size,
    wantedMemoryTokens: unmetMemory,
    completed: counts.completed,
    failed: counts.failed,
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    ...(betweenTokensMs === undefined ? {} : { betweenTokensMs }),
  };
  counts.completed = 0;
  counts.failed = 0;
  counts.unmet.clear();
  return report;
};

const enter = (
  counts: UpstreamCounts,
  route: RouteCounts,
  model: MemoryModel,
  request: RunningRequest,
  startedMs: Milliseconds,
): Work => {
  let firstMs = startedMs;
  let lastMs: Milliseconds | undefined;
  let gaps = 0;
  let over = false;
  addRunning(counts.use, model, request);
  return {
    token: (nowMs, tokens) => {
      request.tokensSoFar = tokens;
      if (lastMs === undefined) {
        firstMs = nowMs;
        counts.firstToken.add(nowMs - startedMs);
        countFirstToken(route, nowMs - startedMs);
      } else {
        gaps += 1;
        counts.betweenTokens.add(nowMs - lastMs);
      }
      lastMs = nowMs;
    },
    finish: (end) => {
      if (over) {
        return;
      }
      over = true;
      removeRunning(counts.use, model, request, end === 'completed');
      if (end === 'not-run') {
        return;
      }
      route.touched = true;
      // One count per answer: the gaps of one stream depend on each other, and a test that takes them
      // for separate evidence calls a good version bad.
      if (lastMs !== undefined && gaps > 0) {
        countBetweenTokens(route, (lastMs - firstMs) / gaps);
      }
      if (end === 'completed') {
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
      enter: (request, startedMs) => {
        const { service, promptTokens, tokensSoFar, maxTokens } = request;
        const running: RunningRequest = {
          ...(service.kind === 'generation' ? { service } : {}),
          promptTokens,
          maxTokens,
          tokensSoFar,
          learnedTokens: tokensSoFar,
          curve: emptyCurve,
        };
        return enter(countsOf(request.upstream), routeOf(request), model, running, startedMs);
      },
      requests: (upstream) => upstreams.get(upstream)?.use.running.size ?? 0,
      memory: (upstream, atMs) => memoryOf(countsOf(upstream).use, model, atMs),
      want: (upstream, requestId, memoryTokens) => {
        countsOf(upstream).unmet.set(requestId, memoryTokens);
      },
      totalRequests: () =>
        [...upstreams.values()].reduce((total, { use }) => total + use.running.size, 0),
      takeInFlight: () => {
        const reports: UpstreamUsage[] = [];
        for (const [upstream, counts] of upstreams) {
          const memoryTokens = peakMemoryOf(counts.use, model, nowMs());
          const report = takeReport(upstream, counts, memoryTokens);
          const { requests, wantedRequests, completed, failed } = report;
          if (requests + wantedRequests + completed + failed > 0) {
            reports.push(report);
          } else {
            upstreams.delete(upstream);
          }
        }
        return reports;
      },
      takeVersionEvidence: () =>
        [...routes.values()].filter(({ touched }) => touched).map(takeEvidence),
    };
  },
};
