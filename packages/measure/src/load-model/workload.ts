import type { Random } from '@zinniagrade/clock';
import type { Service } from '@zinniagrade/types';
import type { Deployment, LengthParameters, TrafficClass } from './deployments.js';
import { engineMemoryTokens, engineSlots } from './deployments.js';

export interface ModelRequest {
  readonly id: string;
  readonly service: Service;
  readonly clientAccount: string;
  readonly node: number;
  readonly arrivedAt: number;
  readonly promptTokens: number;
  /** 0 for a call to a plain service. */
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
  readonly serviceMs: number;
}

const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** 90% quantile of the standard normal distribution, where the Pareto tail begins. */
const tailStartSigma = 1.2816;

export const drawLength = (length: LengthParameters, random: Random): number => {
  const { medianTokens, sigma, tailShare, tailExponent, maxTokens } = length;
  const tokens =
    random() < tailShare
      ? medianTokens * Math.exp(sigma * tailStartSigma) * (1 - random()) ** (-1 / tailExponent)
      : medianTokens * Math.exp(sigma * drawNormal(random));
  return Math.max(1, Math.min(maxTokens, Math.round(tokens)));
};

const drawWeighted = <T>(entries: readonly (readonly [T, number])[], random: Random): T => {
  let left = random() * entries.reduce((sum, [, share]) => sum + share, 0);
  for (const [value, share] of entries) {
    left -= share;
    if (left < 0) {
      return value;
    }
  }
  throw new Error('cannot draw an entry: the shares sum to 0');
};

const drawBetween = ([low, high]: readonly [number, number], random: Random): number =>
  Math.round(low + random() * (high - low));

const blockTokens = 64;

/**
 * Generations per second that the engines sustain. Each generation occupies memory (its prompt and on
 * average half of its output) while it decodes, at the step time of a batch that fills the memory.
 */
export const sustainedPerSecond = (deployment: Deployment, engines: number): number => {
  const random = createMulberry32(7);
  const generations = deployment.traffic.filter(({ outputLength }) => outputLength !== undefined);
  let tokenMemory = 0;
  let tokens = 0;
  const draws = 20_000;
  for (let i = 0; i < draws; i += 1) {
    const entry = drawWeighted(
      generations.map((item) => [item, item.share] as const),
      random,
    );
    const output = entry.outputLength === undefined ? 0 : drawLength(entry.outputLength, random);
    const prompt = drawBetween(entry.promptTokenRange ?? [0, 0], random);
    tokens += output;
    tokenMemory += output * (prompt + output / 2);
  }
  const batch = Math.min(engineSlots, (engineMemoryTokens * tokens) / tokenMemory);
  const stepMs = 20 + 0.5 * batch + 2;
  return (engines * batch * (1000 / stepMs)) / (tokens / draws);
};

const createMulberry32 = (seed: number): Random => {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
};

export interface Workload {
  readonly deployment: Deployment;
  readonly generationsPerSecond: number;
  readonly durationMs: number;
  /** Relative amplitude of the arrival rate, which swings with the period `swingPeriodMs`. */
  readonly rateSwing: number;
  readonly swingPeriodMs: number;
}

const createRequest = (
  deployment: Deployment,
  entry: TrafficClass,
  id: string,
  arrivedAt: number,
  random: Random,
): ModelRequest => {
  const clientAccount = drawWeighted(Object.entries(deployment.accountShares), random);
  const shared = Math.floor((entry.sharedPrefixTokens ?? 0) / blockTokens);
  return {
    id,
    service: entry.service,
    clientAccount,
    node: Math.floor(random() * deployment.nodes),
    arrivedAt,
    promptTokens:
      entry.promptTokenRange === undefined ? 0 : drawBetween(entry.promptTokenRange, random),
    outputTokens: entry.outputLength === undefined ? 0 : drawLength(entry.outputLength, random),
    prefixes: Array.from({ length: shared }, (_, i) => `${entry.service.id}/${clientAccount}/${i}`),
    serviceMs:
      entry.meanServiceMs === undefined ? 0 : -Math.log(1 - random()) * entry.meanServiceMs,
  };
};

/** Draws Poisson arrivals in order of time. The rate of generations follows a sine wave. */
export const createArrivals = (workload: Workload, random: Random): readonly ModelRequest[] => {
  const { deployment, durationMs, rateSwing, swingPeriodMs } = workload;
  const requests: ModelRequest[] = [];
  for (const [kind, perSecond, swing] of [
    ['generation', workload.generationsPerSecond, rateSwing],
    ['plain', deployment.plainPerSecond, 0],
  ] as const) {
    const classes = deployment.traffic
      .filter((entry) => entry.service.kind === kind)
      .map((entry) => [entry, entry.share] as const);
    const maxRate = (perSecond / 1000) * (1 + swing);
    for (let at = 0; at < durationMs;) {
      at += -Math.log(1 - random()) / maxRate;
      const rate = (perSecond / 1000) * (1 + swing * Math.sin((2 * Math.PI * at) / swingPeriodMs));
      if (random() * maxRate < rate) {
        const id = `${kind}-${requests.length}`;
        requests.push(createRequest(deployment, drawWeighted(classes, random), id, at, random));
      }
    }
  }
  return requests.sort((a, b) => a.arrivedAt - b.arrivedAt);
};
