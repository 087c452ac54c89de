import type { MemoryCurve } from '@zinniagrade/length-estimates';
import { addCurves, emptyCurve, peakOf } from '@zinniagrade/length-estimates';
import type { Milliseconds, Service } from '@zinniagrade/types';
import type { MemoryModel } from './memory-model.js';

/** Age at which the expected memory of running requests is recomputed. */
const memoryRefreshMs: Milliseconds = 1_000;

/** One running request; `service` is absent for a call of a plain service. */
export interface RunningRequest {
  readonly service?: Service;
  readonly promptTokens: number;
  readonly maxTokens: number;
  tokensSoFar: number;
  /** Output tokens that the memory model has already learned from. */
  learnedTokens: number;
  /** Contribution of the request to the expected memory of its upstream. */
  curve: MemoryCurve;
}

/** What this node has running on one upstream. */
export interface UpstreamUse {
  readonly running: Set<RunningRequest>;
  memory: MemoryCurve;
  refreshedAt: Milliseconds;
}

export const UpstreamUse = {
  create: (): UpstreamUse => ({ running: new Set(), memory: emptyCurve, refreshedAt: 0 }),
};

const curveOf = (model: MemoryModel, request: RunningRequest): MemoryCurve =>
  request.service === undefined
    ? emptyCurve
    : model.curveOf({ ...request, service: request.service });

const subtractCurve = (from: MemoryCurve, curve: MemoryCurve): MemoryCurve =>
  from.map((value, index) => Math.max(0, value - (curve[index] ?? 0)));

const learnFrom = (model: MemoryModel, request: RunningRequest, ended: boolean): void => {
  const { service, learnedTokens, tokensSoFar } = request;
  if (service !== undefined && (ended || tokensSoFar > learnedTokens)) {
    model.learn(service, { fromTokens: learnedTokens, toTokens: tokensSoFar, ended });
    request.learnedTokens = tokensSoFar;
  }
};

export const addRequest = (use: UpstreamUse, model: MemoryModel, request: RunningRequest): void => {
  request.curve = curveOf(model, request);
  use.running.add(request);
  use.memory = addCurves(use.memory, request.curve);
};

/** `ended`: the engine ended the generation, so that its final length is known. */
export const removeRequest = (
  use: UpstreamUse,
  model: MemoryModel,
  request: RunningRequest,
  ended: boolean,
): void => {
  use.running.delete(request);
  learnFrom(model, request, ended);
  // Subtracted, because recomputing all curves at each end took 6% of the processor time of a
  // relay.
  use.memory = use.running.size === 0 ? emptyCurve : subtractCurve(use.memory, request.curve);
};

/**
 * The expected memory of the running requests. Recomputed from their progress when it is out of
 * date.
 */
export const memoryOf = (
  use: UpstreamUse,
  model: MemoryModel,
  nowMs: Milliseconds,
): MemoryCurve => {
  if (nowMs - use.refreshedAt >= memoryRefreshMs) {
    use.refreshedAt = nowMs;
    use.memory = emptyCurve;
    for (const request of use.running) {
      learnFrom(model, request, false);
      request.curve = curveOf(model, request);
      use.memory = addCurves(use.memory, request.curve);
    }
  }
  return use.memory;
};

export const peakMemoryOf = (use: UpstreamUse, model: MemoryModel, nowMs: Milliseconds): number =>
  Math.ceil(peakOf(memoryOf(use, model, nowMs)));
