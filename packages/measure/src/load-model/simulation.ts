import { VirtualClock, type Random } from '@zinniagrade/clock';
import { EngineModel, type EngineModelSettings } from '@zinniagrade/engine-standin';
import type { CacheEvent, LoadReport, Upstream, UpstreamId } from '@zinniagrade/types';
import type { Deployment } from './deployments.js';
import { appSlots, engineMemoryTokens, engineSlots } from './deployments.js';
import { Outcomes } from './outcomes.js';
import { PlainModel } from './plain-model.js';
import type { ModelRequest } from './workload.js';

/** Interval at which decisions, deliveries and engine events are handled; engines keep exact times. */
export const tickIntervalMs = 20;

/** Longest time after the last arrival for which a request may still wait at a node before dispatch. */
const maxQueueMs = 12_000;

export interface UpstreamModel {
  readonly upstream: Upstream;
  readonly engine?: EngineModel;
  readonly plain?: PlainModel;
  /** `absent`: not started yet. */
  state: 'absent' | 'up' | 'leaving' | 'gone';
}

/** One entry node under some policy. */
export interface PolicyNode {
  readonly arrive: (request: ModelRequest) => void;
  readonly tick: () => void;
  readonly token: (request: ModelRequest, upstream: UpstreamId, atMs: number) => void;
  readonly ended: (request: ModelRequest, upstream: UpstreamId) => void;
  /** `ran` is false if the upstream was not reached. */
  readonly failed: (request: ModelRequest, upstream: UpstreamId, ran: boolean) => void;
}

export type CreateNode = (simulation: LoadSimulation, node: number) => PolicyNode;

/** Dispatches to cold engines, and the load of the engine at each of them. */
export interface ColdDispatchRecord {
  /** Highest number of requests in flight on a cold engine, divided by its stream limit. */
  maxLoadRatio: number;
  failures: number;
  dispatches: number;
}

/** A running simulation: engines, plain services, links between nodes, and the outcomes for callers. */
export interface LoadSimulation {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly now: () => number;
  readonly upstreamModels: ReadonlyMap<UpstreamId, UpstreamModel>;
  readonly outcomes: Outcomes;
  readonly coldDispatches: ColdDispatchRecord;
  /**
   * Dispatches to a cold engine are not recorded before this time, as no node can know yet that it
   * has turned cold.
   */
  readonly coldUndetectedUntil: Map<UpstreamId, number>;
  /** Time until which each node is frozen; messages to a frozen node are delivered afterwards. */
  readonly frozenUntil: number[];
  /** For each node, the nodes that it considers alive. */
  readonly aliveNodesSeen: (readonly number[])[];
  /**
   * Runs a function on a node after a delay. If `lossy`, it is dropped with probability
   * `lostMessageShare`.
   */
  readonly runOnNode: (node: number, delayMs: number, run: () => void, lossy?: boolean) => void;
  readonly dispatch: (node: number, upstream: UpstreamId, request: ModelRequest) => void;
  readonly loadReport: (upstream: UpstreamId) => LoadReport | undefined;
  readonly cacheEvents: (upstream: UpstreamId) => readonly CacheEvent[];
  readonly preemptions: () => number;
}

export interface LoadSimulationOptions {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly arrivals: readonly ModelRequest[];
  readonly durationMs: number;
  readonly createNode: CreateNode;
  readonly engineSettings?: (index: number) => Partial<EngineModelSettings>;
  /** Share of the messages between nodes that are lost. */
  readonly lostMessageShare?: number;
  /** Called before each tick, to inject events. */
  readonly beforeTick?: (simulation: LoadSimulation, now: number) => void;
}

interface Attempt {
  readonly node: number;
  readonly request: ModelRequest;
  readonly upstream: UpstreamId;
}

const createUpstreamModels = (
  options: LoadSimulationOptions,
): ReadonlyMap<UpstreamId, UpstreamModel> => {
  let engines = 0;
  return new Map(
    Object.values(options.deployment.configuration.upstreams).map(
      (upstream): [string, UpstreamModel] => {
        if (upstream.kind === 'plain') {
          return [upstream.id, { upstream, plain: PlainModel.create(appSlots), state: 'up' }];
        }
        const settings = {
          memoryTokens: engineMemoryTokens,
          maxBatch: engineSlots,
          coldSlots: upstream.coldSlots,
          ...options.engineSettings?.(engines),
        };
        engines += 1;
        return [upstream.id, { upstream, engine: EngineModel.create(settings, 0), state: 'up' }];
      },
    ),
  );
};

const inFlightOf = (engine: EngineModel): number => engine.load().running + engine.load().waiting;

/** Runs the simulation on a virtual clock until it ends and returns its final state. */
export const runLoadSimulation = (options: LoadSimulationOptions): LoadSimulation => {
  const { deployment, random, durationMs } = options;
  const clock = VirtualClock.create();
  const attempts = new Map<string, Attempt>();
  const upstreamModels = createUpstreamModels(options);
  const coldDispatches: ColdDispatchRecord = { maxLoadRatio: 0, failures: 0, dispatches: 0 };
  const coldUndetectedUntil = new Map<UpstreamId, number>();
  const frozenUntil: number[] = Array.from({ length: deployment.nodes }, () => 0);
  const everyNode = frozenUntil.map((_, node) => node);
  const aliveNodesSeen: (readonly number[])[] = frozenUntil.map(() => everyNode);
  const nodes: PolicyNode[] = [];
  const outcomes = Outcomes.create();
  let attemptCount = 0;

  const runOnNode: LoadSimulation['runOnNode'] = (node, delayMs, run, lossy = false) => {
    if (lossy && random() < (options.lostMessageShare ?? 0)) {
      return;
    }
    const deliver = (): void => {
      const resumesAt = frozenUntil[node] ?? 0;
      if (clock.monotonicMs() < resumesAt) {
        clock.after(resumesAt - clock.monotonicMs() + 1, deliver);
      } else {
        run();
      }
    };
    clock.after(delayMs, deliver);
  };

  /** Runs the function immediately, or after the freeze if the node is frozen. */
  const notifyNode = (index: number, run: (node: PolicyNode) => void): void => {
    const node = nodes[index];
    if (node === undefined) {
      return;
    }
    if (clock.monotonicMs() >= (frozenUntil[index] ?? 0)) {
      run(node);
    } else {
      runOnNode(index, 0, () => {
        run(node);
      });
    }
  };

  const removeAttempt = (id: string): Attempt | undefined => {
    const attempt = attempts.get(id);
    attempts.delete(id);
    return attempt;
  };
  const fail = (id: string, ran: boolean): void => {
    const attempt = removeAttempt(id);
    if (attempt !== undefined) {
      runOnNode(attempt.node, deployment.linkDelayMs, () =>
        nodes[attempt.node]?.failed(attempt.request, attempt.upstream, ran),
      );
    }
  };
  const end = (id: string, atMs: number): void => {
    const attempt = removeAttempt(id);
    if (attempt !== undefined) {
      outcomes.end(attempt.request.id, atMs);
      notifyNode(attempt.node, (node) => {
        node.ended(attempt.request, attempt.upstream);
      });
    }
  };
  const token = (id: string, index: number, atMs: number): void => {
    const attempt = attempts.get(id);
    if (attempt !== undefined) {
      outcomes.token(attempt.request.id, index, atMs);
      notifyNode(attempt.node, (node) => {
        node.token(attempt.request, attempt.upstream, atMs);
      });
    }
  };
  // Events are queued until the engine has finished its step, because handling one can submit
  // another request.
  const events: (() => void)[] = [];
  const sink = {
    token: (id: string, index: number, atMs: number) => {
      events.push(() => {
        token(id, index, atMs);
      });
    },
    ended: (id: string, _: number, atMs: number) => {
      events.push(() => {
        end(id, atMs);
      });
    },
    failed: (id: string, reason: string) => {
      coldDispatches.failures += reason.startsWith('cold') ? 1 : 0;
      events.push(() => {
        fail(id, true);
      });
    },
  };

  const recordColdDispatch = (upstream: UpstreamId, engine: EngineModel): void => {
    const now = clock.monotonicMs();
    if (!engine.load().warm && now >= (coldUndetectedUntil.get(upstream) ?? 0)) {
      coldDispatches.dispatches += 1;
      coldDispatches.maxLoadRatio = Math.max(
        coldDispatches.maxLoadRatio,
        inFlightOf(engine) / engine.streamLimit(),
      );
    }
  };

  const dispatch: LoadSimulation['dispatch'] = (node, upstream, request) => {
    const upstreamModel = upstreamModels.get(upstream);
    const now = clock.monotonicMs();
    attemptCount += 1;
    const id = `${request.id}@${attemptCount}`;
    attempts.set(id, { node, request, upstream });
    if (
      upstreamModel === undefined ||
      upstreamModel.state === 'gone' ||
      upstreamModel.state === 'absent'
    ) {
      fail(id, false);
    } else if (upstreamModel.engine !== undefined) {
      const { promptTokens, outputTokens, prefixes } = request;
      upstreamModel.engine.submit({ id, promptTokens, outputTokens, priority: 0, prefixes }, now);
      recordColdDispatch(upstream, upstreamModel.engine);
    } else {
      upstreamModel.plain?.submit(id, request.serviceMs, now);
    }
  };

  const advanceUpstreams = (now: number): void => {
    for (const { engine, plain, state } of upstreamModels.values()) {
      engine?.advance(now, sink);
      plain?.advance(now, end);
      if (state === 'gone') {
        engine?.failAll('gone', now, sink);
        plain?.failAll((id) => {
          fail(id, true);
        });
      }
      for (const handle of events.splice(0)) {
        handle();
      }
    }
  };

  const simulation: LoadSimulation = {
    deployment,
    random,
    now: clock.monotonicMs,
    upstreamModels,
    outcomes,
    coldDispatches,
    coldUndetectedUntil,
    frozenUntil,
    aliveNodesSeen,
    runOnNode,
    dispatch,
    loadReport: (upstream) => {
      const { engine, plain, state } = upstreamModels.get(upstream) ?? { state: 'gone' };
      const now = clock.monotonicMs();
      return state === 'gone' || state === 'absent'
        ? undefined
        : (engine?.report(now) ?? plain?.report(now));
    },
    cacheEvents: (upstream) => upstreamModels.get(upstream)?.engine?.prefixCache.events() ?? [],
    preemptions: () =>
      [...upstreamModels.values()].reduce(
        (sum, { engine }) => sum + (engine?.load().preemptions ?? 0),
        0,
      ),
  };
  for (let node = 0; node < deployment.nodes; node += 1) {
    nodes.push(options.createNode(simulation, node));
  }

  let nextIndex = 0;
  const lastArrivalAt = options.arrivals.at(-1)?.arrivedAt ?? 0;
  for (let now = 0; now <= durationMs; now += tickIntervalMs) {
    clock.advance(now - clock.monotonicMs());
    if (
      nextIndex === options.arrivals.length &&
      attempts.size === 0 &&
      now >= lastArrivalAt + maxQueueMs
    ) {
      break;
    }
    options.beforeTick?.(simulation, now);
    advanceUpstreams(now);
    for (
      let arrival = options.arrivals[nextIndex];
      arrival !== undefined && arrival.arrivedAt <= now;
    ) {
      outcomes.arrive(arrival);
      const request = arrival;
      runOnNode(arrival.node, 0, () => nodes[request.node]?.arrive(request));
      nextIndex += 1;
      arrival = options.arrivals[nextIndex];
    }
    for (const [index, node] of nodes.entries()) {
      if (now >= (frozenUntil[index] ?? 0)) {
        node.tick();
      }
    }
  }
  return simulation;
};
