import type { LengthEstimates, MemoryCurve } from '@zinniagrade/length-estimates';
import {
  addCurves,
  emptyCurve,
  lengthKey,
  memoryCurve,
  peakOf,
} from '@zinniagrade/length-estimates';
import type { OwnUsage } from '@zinniagrade/routing';
import type { UpstreamUsage, UpstreamId } from '@zinniagrade/types';
import { percentile } from '../measurement.js';
import type { ModelRequest } from './workload.js';

interface Stream {
  readonly request: ModelRequest;
  readonly upstream: UpstreamId;
  readonly dispatchedAt: number;
  tokens: number;
  lastAt: number | undefined;
  curve: MemoryCurve;
}

interface Evidence {
  completed: number;
  failed: number;
  firstTokenMs: number[];
  betweenTokensMs: number[];
}

/** Tracks the requests that one node has in flight, as the data path does. */
export const createInFlightWork = () => {
  const streams = new Map<string, Stream>();
  const uses = new Map<UpstreamId, OwnUsage>();
  const evidence = new Map<UpstreamId, Evidence>();
  const noUse: OwnUsage = { requests: 0, memory: emptyCurve };
  const use = (upstream: UpstreamId): OwnUsage => uses.get(upstream) ?? noUse;

  const evidenceOf = (upstream: UpstreamId): Evidence => {
    const known = evidence.get(upstream) ?? {
      completed: 0,
      failed: 0,
      firstTokenMs: [],
      betweenTokensMs: [],
    };
    evidence.set(upstream, known);
    return known;
  };

  const add = (request: ModelRequest, upstream: UpstreamId, curve: MemoryCurve, now: number) => {
    const before = use(upstream);
    streams.set(request.id, {
      request,
      upstream,
      dispatchedAt: now,
      tokens: 0,
      lastAt: undefined,
      curve,
    });
    uses.set(upstream, {
      requests: before.requests + 1,
      memory: addCurves(before.memory, curve),
    });
  };

  return {
    use,
    add,
    /** Counts one token and returns the number of tokens so far. */
    token: (id: string, atMs: number): number => {
      const stream = streams.get(id);
      if (stream === undefined) {
        return 0;
      }
      const { firstTokenMs, betweenTokensMs } = evidenceOf(stream.upstream);
      if (stream.lastAt === undefined) {
        firstTokenMs.push(atMs - stream.dispatchedAt);
      } else {
        betweenTokensMs.push(atMs - stream.lastAt);
      }
      stream.lastAt = atMs;
      stream.tokens += 1;
      return stream.tokens;
    },
    /** Removes a stream and returns its number of tokens. */
    remove: (id: string, outcome: 'completed' | 'failed'): number => {
      const stream = streams.get(id);
      if (stream === undefined) {
        return 0;
      }
      streams.delete(id);
      evidenceOf(stream.upstream)[outcome] += 1;
      const before = use(stream.upstream);
      uses.set(stream.upstream, {
        requests: before.requests - 1,
        memory: before.memory.map((value, i) => Math.max(0, value - (stream.curve[i] ?? 0))),
      });
      return stream.tokens;
    },
    /** Recomputes the memory estimate of every stream from the tokens that it has produced. */
    refresh: (estimates: LengthEstimates): void => {
      const totals = new Map<UpstreamId, OwnUsage>();
      for (const stream of streams.values()) {
        const { request, upstream, tokens } = stream;
        if (request.service.kind === 'generation') {
          stream.curve = memoryCurve(estimates, lengthKey(request.service.id, 'main'), {
            promptTokens: request.promptTokens,
            tokensSoFar: tokens,
          });
        }
        const before = totals.get(upstream) ?? noUse;
        totals.set(upstream, {
          requests: before.requests + 1,
          memory: addCurves(before.memory, stream.curve),
        });
      }
      uses.clear();
      for (const [upstream, total] of totals) {
        uses.set(upstream, total);
      }
    },
    /**
     * Returns the usage of one upstream, with the evidence since the previous call, and clears that
     * evidence.
     */
    takeInFlight: (
      upstream: UpstreamId,
      wanted: { readonly requests: number; readonly memoryTokens: number },
    ): UpstreamUsage => {
      const { completed, failed, firstTokenMs, betweenTokensMs } = evidenceOf(upstream);
      evidence.delete(upstream);
      const { requests, memory } = use(upstream);
      return {
        upstream,
        requests,
        memoryTokens: peakOf(memory),
        wantedRequests: wanted.requests,
        wantedMemoryTokens: wanted.memoryTokens,
        completed,
        failed,
        ...(firstTokenMs.length > 0 ? { firstTokenMs: percentile(firstTokenMs, 0.95) } : {}),
        ...(betweenTokensMs.length > 0
          ? { betweenTokensMs: percentile(betweenTokensMs, 0.95) }
          : {}),
      };
    },
  };
};

export type InFlightWork = ReturnType<typeof createInFlightWork>;
