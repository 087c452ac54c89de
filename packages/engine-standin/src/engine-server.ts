import { createHash } from 'node:crypto';
import type { Cancel, Clock } from '@zinniagrade/clock';
import { Random } from '@zinniagrade/clock';
import type { JsonAnswer, JsonHandler, JsonRequest } from '@zinniagrade/service-standin';
import { promptPrefixes } from '@zinniagrade/routing';
import { JsonServer, checkBody } from '@zinniagrade/service-standin';
import type { CacheEvent } from '@zinniagrade/types';
import type { EngineModelSettings } from './engine-model-settings.js';
import type { EngineSink } from './engine-model.js';
import { EngineModel } from './engine-model.js';
import { GenerationStore } from './generation-store.js';
import type { EngineStandInSettings, Fault, GenerationRequest, Order } from './settings.js';
import { faultSchema, generationSchema, orderSchema } from './settings.js';

const charactersPerToken = 4;
const failShareTokenIndex = 3;
const notFoundAnswer: JsonAnswer = { status: 404, body: { error: 'not found' } };
const okAnswer: JsonAnswer = { status: 200, body: {} };

const shortHash = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, 16);

const chooseOutputTokens = (
  settings: EngineStandInSettings,
  request: GenerationRequest,
): number => {
  const [, requestedTokens] = /tokens=(\d+)/.exec(request.prompt) ?? [];
  const rangeSize = settings.longestOutput - settings.shortestOutput + 1;
  const hashedTokens =
    settings.shortestOutput + (parseInt(shortHash(request.prompt).slice(0, 8), 16) % rangeSize);
  return Math.min(
    request.maxTokens,
    requestedTokens === undefined ? hashedTokens : Number(requestedTokens),
  );
};

/** A generation as `GET /runs` lists it. */
export interface GenerationRecord {
  readonly generation: string;
  readonly service: string;
  readonly version: string;
  /** Wall-clock time of the stand-in. */
  readonly at: number;
}

/**
 * Drives the model by a clock: a timer fires at the end of each step, and tokens go to the store.
 */
const createEngine = (settings: EngineStandInSettings, clock: Clock) => {
  const model = EngineModel.create(
    settings.model as Partial<EngineModelSettings>,
    clock.monotonicMs(),
  );
  const generationStore = GenerationStore.create();
  const sink: EngineSink = {
    token: generationStore.addToken,
    ended: (id) => {
      generationStore.end(id, 'ended');
    },
    failed: (id) => {
      generationStore.end(id, 'failed');
    },
  };
  let cancelTimer: Cancel = () => undefined;
  /** Advances the model to the present, applies `change` and sets the timer for the next step. */
  const advanceAndApply = <Result>(change: (now: number) => Result): Result => {
    cancelTimer();
    const now = clock.monotonicMs();
    model.advance(now, sink);
    const result = change(now);
    const stepEndsAt = model.stepEndsAt();
    if (stepEndsAt !== Infinity) {
      cancelTimer = clock.after(Math.max(0, stepEndsAt - now), () => {
        advanceAndApply(() => undefined);
      });
    }
    return result;
  };
  return {
    model,
    generationStore,
    advanceAndApply,
    stop: () => {
      cancelTimer();
    },
  };
};

/**
 * Answers `GET /cache-events`. An event is reported `cacheEventLagMs` after the first call that
 * found it, or never if its sequence number is a multiple of `cacheEventGap`.
 */
const createCacheEventHandler = (settings: EngineStandInSettings, clock: Clock) => {
  const observedEvents: { readonly observedAt: number; readonly event: CacheEvent }[] = [];
  return (allEvents: readonly CacheEvent[], afterSequence: number): JsonAnswer => {
    const now = clock.monotonicMs();
    for (const event of allEvents.slice(observedEvents.length)) {
      observedEvents.push({ observedAt: now, event });
    }
    const dueEvents = observedEvents
      .filter(
        ({ observedAt, event }) =>
          observedAt <= now - settings.cacheEventLagMs && event.sequence > afterSequence,
      )
      .map(({ event }) => event);
    const reportedEvents = dueEvents.filter(
      ({ sequence }) => sequence % settings.cacheEventGap !== 0,
    );
    return {
      status: 200,
      body: { events: reportedEvents, lost: reportedEvents.length < dueEvents.length },
    };
  };
};

/** Accepts operators' orders; checks the credential and the fencing token if so configured. */
const createOrders = (settings: EngineStandInSettings, loadVersion: (version: string) => void) => {
  const accepted: Order[] = [];
  const submit = (order: Order): JsonAnswer => {
    const highestToken = Math.max(0, ...accepted.map(({ fencingToken }) => fencingToken));
    if (settings.orderCredential !== undefined && order.credential !== settings.orderCredential) {
      return { status: 403, body: { refused: 'wrong credential' } };
    }
    if (settings.refusesOldFencingTokens && order.fencingToken < highestToken) {
      return { status: 409, body: { refused: 'old fencing token', fencingToken: highestToken } };
    }
    accepted.push(order);
    if (order.order === 'load' && order.version !== undefined) {
      loadVersion(order.version);
    }
    return okAnswer;
  };
  return { accepted, submit };
};

/**
 * HTTP server around the engine model. Only for tests: `POST /faults`, `GET /runs` (generations
 * accepted and refused) and `GET /orders` (orders accepted).
 */
export const EngineStandIn = {
  create: async (settings: EngineStandInSettings, clock: Clock): Promise<JsonServer> => {
    const engine = createEngine(settings, clock);
    const { model, generationStore, advanceAndApply } = engine;
    const answerCacheEvents = createCacheEventHandler(settings, clock);
    const random = Random.create(settings.seed);
    const runs: GenerationRecord[] = [];
    const refusals: GenerationRecord[] = [];
    let pendingFaults: { readonly fault: Fault; remaining: number }[] = [];
    let isLeaving = false;
    let failShare = 0;

    const orders = createOrders(settings, (version) => {
      clock.after(settings.loadMs, () => {
        advanceAndApply(() => {
          model.setVersion(version);
          model.turnCold();
        });
      });
    });

    const takeFault = (...kinds: readonly string[]): Fault | undefined => {
      const pendingFault = pendingFaults.find(
        ({ fault, remaining }) => remaining > 0 && kinds.includes(fault.kind),
      );
      if (pendingFault !== undefined) {
        pendingFault.remaining -= 1;
      }
      return pendingFault?.fault;
    };
    const takeLineFault = () =>
      takeFault('repeat-line', 'drop-line', 'foreign-line', 'cut', 'mute');

    const generate = (request: GenerationRequest, { response }: JsonRequest): JsonAnswer => {
      if (takeFault('reset-before') !== undefined) {
        response.destroy();
        return undefined;
      }
      const { generation, service, version, prompt, priority } = request;
      const record: GenerationRecord = { generation, service, version, at: clock.wallMs() };
      if (isLeaving || takeFault('refuse') !== undefined) {
        refusals.push(record);
        return { status: 503, body: { refused: isLeaving ? 'leaving' : 'not accepting work' } };
      }
      if (generationStore.has(generation)) {
        return { status: 409, body: { error: 'generation already exists' } };
      }
      const failAtTokenIndex =
        takeFault('fail-at')?.at ?? (random() < failShare ? failShareTokenIndex : undefined);
      runs.push(record);
      generationStore.start(generation);
      generationStore.addReader(generation, 0, response, takeLineFault());
      advanceAndApply((now) => {
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        const outputTokens = chooseOutputTokens(settings, request);
        const prefixes = promptPrefixes(prompt);
        const engineRequest = { id: generation, promptTokens, outputTokens, priority, prefixes };
        model.submit(
          failAtTokenIndex === undefined ? engineRequest : { ...engineRequest, failAtTokenIndex },
          now,
        );
      });
      return undefined;
    };

    const generations: JsonHandler = (request) => {
      const { method, path, query, body, response } = request;
      const [, id] = path;
      if (id === undefined) {
        return checkBody(generationSchema, body, (generation) => generate(generation, request));
      }
      if (!generationStore.has(id)) {
        return notFoundAnswer;
      }
      if (method === 'DELETE') {
        advanceAndApply(() => model.cancel(id));
        generationStore.remove(id);
        return okAnswer;
      }
      generationStore.addReader(id, Number(query.get('from') ?? 0), response, takeLineFault());
      return undefined;
    };

    const injectFault = (fault: Fault): JsonAnswer => {
      switch (fault.kind) {
        case 'clear':
          pendingFaults = [];
          isLeaving = false;
          failShare = 0;
          model.setSlowdown(1);
          break;
        case 'stall':
          advanceAndApply((now) => {
            model.stall(now + fault.forMs);
          });
          break;
        case 'turn-cold':
          advanceAndApply(model.turnCold);
          break;
        case 'slow':
          model.setSlowdown(fault.factor);
          break;
        case 'leave':
          isLeaving = true;
          break;
        case 'fail-share':
          failShare = fault.share;
          break;
        default:
          pendingFaults.push({ fault, remaining: fault.count });
      }
      return okAnswer;
    };

    const handlers: Readonly<Record<string, JsonHandler>> = {
      generations,
      load: () => ({ status: 200, body: advanceAndApply((now) => model.report(now)) }),
      'cache-events': ({ query }) =>
        answerCacheEvents(model.prefixCache.events(), Number(query.get('after') ?? 0)),
      orders: ({ method, body }) =>
        method === 'GET'
          ? { status: 200, body: { orders: orders.accepted } }
          : checkBody(orderSchema, body, orders.submit),
      runs: () => ({ status: 200, body: { runs, refusals } }),
      faults: ({ body }) => checkBody(faultSchema, body, injectFault),
    };
    const server = await JsonServer.create(
      settings.host,
      settings.port,
      (request) => handlers[request.path[0] ?? '']?.(request) ?? notFoundAnswer,
    );
    return {
      port: server.port,
      close: () => {
        engine.stop();
        return server.close();
      },
    };
  },
};
