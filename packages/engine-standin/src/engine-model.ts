import type { LoadReport, Milliseconds } from '@zinniagrade/types';
import type { EngineLoad } from './load-history.js';
import { LoadHistory } from './load-history.js';
import type { EngineModelSettings } from './engine-model-settings.js';
import { defaultEngineModelSettings } from './engine-model-settings.js';
import { PrefixCache } from './prefix-cache.js';

/** A generation as submitted to the engine. Only the engine knows `outputTokens` in advance. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Streams with a larger number are admitted first and preempted last. */
  readonly priority: number;
  /** Hashes of the prompt's leading blocks, in the order of the prompt. */
  readonly prefixes?: readonly string[];
  /** The generation fails instead of producing the token with this index. */
  readonly failAtTokenIndex?: number;
}

/** Receives the events of a run of `advance`, in order of time. `atMs` is on the caller's clock. */
export interface EngineSink {
  readonly token: (id: string, index: number, atMs: Milliseconds) => void;
  readonly ended: (id: string, tokens: number, atMs: Milliseconds) => void;
  readonly failed: (id: string, reason: string, atMs: Milliseconds) => void;
  readonly preempted?: (id: string, atMs: Milliseconds) => void;
}

/** Simulation of a model engine. It uses no sockets and no timers; the caller passes the time. */
export interface EngineModel {
  /** Queues a generation at `now`; call `advance(now)` first. */
  readonly submit: (request: EngineRequest, now: Milliseconds) => void;
  /** Returns true if the generation was waiting or running. */
  readonly cancel: (id: string) => boolean;
  /** Completes every step that ends at or before `now`. */
  readonly advance: (now: Milliseconds, sink: EngineSink) => void;
  /** End of the current step; infinite while the engine is idle. */
  readonly stepEndsAt: () => Milliseconds;
  /** The engine's true current state, for an oracle; real clients see only `report`. */
  readonly load: () => EngineLoad;
  /** Streams that the engine can run concurrently now: `maxBatch` if warm, else `coldSlots`. */
  readonly streamLimit: () => number;
  /** Body of `GET /load`: the newest report that is at least `loadLagMs` old. */
  readonly report: (now: Milliseconds) => LoadReport;
  readonly prefixCache: PrefixCache;
  /** Starts the warm-up again and empties the prefix cache. */
  readonly turnCold: () => void;
  /** Delays the end of steps until `untilMs`. */
  readonly stall: (untilMs: Milliseconds) => void;
  /** Multiplies the duration of steps that start later; 1 is normal. */
  readonly setSlowdown: (factor: number) => void;
  readonly setVersion: (version: string) => void;
  /** Fails all waiting and running streams, as a crash of the engine process would. */
  readonly failAll: (reason: string, now: Milliseconds, sink: EngineSink) => void;
}

interface Stream {
  readonly request: EngineRequest;
  readonly submissionNumber: number;
  generated: number;
  /** Tokens to prefill before the next token, including those recomputed after preemption. */
  remainingPrefillTokens: number;
}

const streamMemoryTokens = (stream: Stream): number =>
  stream.request.promptTokens + stream.generated;

/**
 * Positive if `a` is preempted after `b`: the newest stream of the lowest priority is preempted
 * first.
 */
const comparePreemptionOrder = (a: Stream, b: Stream): number =>
  a.request.priority - b.request.priority || b.submissionNumber - a.submissionNumber;

export const EngineModel = {
  create: (partial: Partial<EngineModelSettings> = {}, startMs: Milliseconds = 0): EngineModel => {
    const settings: EngineModelSettings = { ...defaultEngineModelSettings, ...partial };
    const prefixCache = PrefixCache.create(settings.prefixCacheTokens, settings.prefixBlockTokens);
    /** Sorted in preemption order, so that the last element is admitted next. */
    const waiting: Stream[] = [];
    let running: Stream[] = [];
    let usedMemoryTokens = 0;
    let preemptions = 0;
    let submissionNumber = 0;
    let warmUpProgressMs = settings.startsCold ? 0 : settings.warmUpMs;
    let slowdown = 1;
    let version = settings.version;
    let stalledUntilMs = -Infinity;
    let stepStartedAt = startMs;
    let stepEndsAt = Infinity;

    const isWarm = (): boolean => warmUpProgressMs >= settings.warmUpMs;
    const load = (): EngineLoad => ({
      running: running.length,
      waiting: waiting.length,
      memoryTokensUsed: usedMemoryTokens,
      memoryTokensTotal: settings.memoryTokens,
      preemptions,
      warm: isWarm(),
      version,
    });
    const loadHistory = LoadHistory.create(
      settings.loadLagMs,
      settings.loadEveryMs,
      load(),
      startMs,
    );

    const enqueue = (stream: Stream): void => {
      let index = waiting.length;
      for (; index > 0; index -= 1) {
        const previous = waiting[index - 1];
        if (previous === undefined || comparePreemptionOrder(previous, stream) <= 0) {
          break;
        }
      }
      waiting.splice(index, 0, stream);
    };

    const removeFromBatch = (stream: Stream): void => {
      running.splice(running.indexOf(stream), 1);
      usedMemoryTokens -= streamMemoryTokens(stream);
    };

    const preemptUntilStepFits = (now: Milliseconds, sink: EngineSink): void => {
      while (usedMemoryTokens + running.length > settings.memoryTokens && running.length > 1) {
        const victim = running.reduce((a, b) => (comparePreemptionOrder(a, b) <= 0 ? a : b));
        removeFromBatch(victim);
        preemptions += 1;
        enqueue(victim);
        sink.preempted?.(victim.request.id, now);
      }
    };

    const admitWaiting = (): void => {
      for (let next = waiting.at(-1); next !== undefined; next = waiting.at(-1)) {
        const fits =
          usedMemoryTokens + streamMemoryTokens(next) + running.length < settings.memoryTokens;
        if (running.length >= settings.maxBatch || (!fits && running.length > 0)) {
          return;
        }
        waiting.pop();
        const prefixes = next.request.prefixes ?? [];
        const cachedTokens = Math.min(prefixCache.match(prefixes), streamMemoryTokens(next));
        prefixCache.store(prefixes);
        next.remainingPrefillTokens = streamMemoryTokens(next) - cachedTokens;
        usedMemoryTokens += streamMemoryTokens(next);
        running.push(next);
      }
    };

    /**
     * Prefills running streams within the token budget of one step; returns the tokens prefilled.
     */
    const prefill = (): number => {
      let tokenBudget = settings.prefillTokensPerStep;
      for (const stream of running) {
        const tokens = Math.min(stream.remainingPrefillTokens, tokenBudget);
        stream.remainingPrefillTokens -= tokens;
        tokenBudget -= tokens;
        if (tokenBudget === 0) {
          break;
        }
      }
      return settings.prefillTokensPerStep - tokenBudget;
    };

    const startStep = (now: Milliseconds, sink: EngineSink): void => {
      preemptUntilStepFits(now, sink);
      admitWaiting();
      if (running.length === 0) {
        stepEndsAt = Infinity;
        return;
      }
      const stepMs =
        settings.stepBaseMs +
        settings.stepPerStreamMs * running.length +
        settings.stepPerPrefillTokenMs * prefill();
      stepStartedAt = now;
      stepEndsAt = now + stepMs * slowdown * (isWarm() ? 1 : settings.coldFactor);
    };

    const failAll = (reason: string, now: Milliseconds, sink: EngineSink): void => {
      const failedStreams = [...running, ...waiting];
      running = [];
      waiting.length = 0;
      usedMemoryTokens = 0;
      stepEndsAt = Infinity;
      for (const { request } of failedStreams) {
        sink.failed(request.id, reason, now);
      }
      loadHistory.record(now, load(), true);
    };

    /**
     * Produces one token if the prompt is prefilled; returns whether the stream stays in the batch.
     */
    const decode = (stream: Stream, now: Milliseconds, sink: EngineSink): boolean => {
      const { id, outputTokens, failAtTokenIndex } = stream.request;
      if (stream.remainingPrefillTokens > 0) {
        return true;
      }
      if (stream.generated === failAtTokenIndex || stream.generated >= outputTokens) {
        usedMemoryTokens -= streamMemoryTokens(stream);
        if (stream.generated === failAtTokenIndex) {
          sink.failed(id, `failed at token ${failAtTokenIndex}`, now);
        } else {
          sink.ended(id, stream.generated, now);
        }
        return false;
      }
      sink.token(id, stream.generated, now);
      stream.generated += 1;
      usedMemoryTokens += 1;
      if (stream.generated >= outputTokens) {
        usedMemoryTokens -= streamMemoryTokens(stream);
        sink.ended(id, stream.generated, now);
        return false;
      }
      return true;
    };

    const endStep = (now: Milliseconds, sink: EngineSink): void => {
      if (!isWarm() && running.length > settings.coldSlots) {
        warmUpProgressMs = 0;
        failAll('cold engine overloaded: more than coldSlots streams in the batch', now, sink);
        return;
      }
      const wasWarm = isWarm();
      running = running.filter((stream) => decode(stream, now, sink));
      warmUpProgressMs += wasWarm ? 0 : now - stepStartedAt;
      loadHistory.record(now, load(), running.length + waiting.length === 0);
      startStep(now, sink);
    };

    const ignoreEvents: EngineSink = {
      token: () => undefined,
      ended: () => undefined,
      failed: () => undefined,
    };

    return {
      submit: (request, now) => {
        submissionNumber += 1;
        enqueue({
          request,
          submissionNumber,
          generated: 0,
          remainingPrefillTokens: request.promptTokens,
        });
        if (stepEndsAt === Infinity) {
          startStep(now, ignoreEvents);
        }
      },
      cancel: (id) => {
        const index = waiting.findIndex((stream) => stream.request.id === id);
        if (index >= 0) {
          waiting.splice(index, 1);
          return true;
        }
        const stream = running.find((candidate) => candidate.request.id === id);
        if (stream !== undefined) {
          removeFromBatch(stream);
        }
        return stream !== undefined;
      },
      advance: (now, sink) => {
        while (Math.max(stepEndsAt, stalledUntilMs) <= now && stepEndsAt !== Infinity) {
          endStep(Math.max(stepEndsAt, stalledUntilMs), sink);
        }
      },
      stepEndsAt: () => (stepEndsAt === Infinity ? Infinity : Math.max(stepEndsAt, stalledUntilMs)),
      load,
      streamLimit: () => (isWarm() ? settings.maxBatch : settings.coldSlots),
      report: loadHistory.report,
      prefixCache,
      turnCold: () => {
        warmUpProgressMs = 0;
        prefixCache.clear();
      },
      stall: (untilMs) => {
        stalledUntilMs = untilMs;
      },
      setSlowdown: (factor) => {
        slowdown = factor;
      },
      setVersion: (next) => {
        version = next;
      },
      failAll,
    };
  },
};
