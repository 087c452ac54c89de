import { VirtualClock, type Random } from '@zinniagrade/clock';
import { EngineModel, type EngineModelSettings } from '@zinniagrade/engine-standin';
import type { CacheEvent, LoadReport, Upstream, UpstreamId } from '@zinniagrade/types';
import type { Deployment } from './deployments.js';
import { appSlots, engineMemoryTokens, engineSlots } from './deployments.js';
import { Outcomes } from './outcomes.js';
import { PlainModel } from './plain-model.js';
import type { ModelRequest } from './workload.js';

/** Decisions, deliveries and engine events are handled at this interval; engines keep exact times. */
export const tickMs = 20;

/** Time after the last arrival in which a request may still wait at a node, not yet in flight. */
const settleMs = 12_000;

export interface UpstreamModel {
  readonly upstream: Upstream;
  readonly engine?: EngineModel;
  readonly plain?: PlainModel;
  /** An absent upstream has not started yet. */
  state: 'absent' | 'up' | 'leaving' | 'gone';
}

/** One entry node under some policy. */
export interface PolicyNode {
  readonly arrive: (request: ModelRequest) => void;
  readonly tick: () => void;
  readonly token: (request: ModelRequest, upstream: UpstreamId, atMs: number) => void;
  readonly ended: (request: ModelRequest, upstream: UpstreamId) => void;
  /** `ran` is false when the upstream was not reached. */
  readonly failed: (request: ModelRequest, upstream: UpstreamId, ran: boolean) => void;
}

export type CreateNode = (world: World, node: number) => PolicyNode;

/** Work on cold engines, as it was at the moments of dispatch. */
export interface ColdRecord {
  /** Most work in flight on a cold engine, over what it bears. */
  mostOverBears: number;
  failures: number;
  dispatches: number;
}

/** Engines, plain services, links between nodes, and what callers see. */
export interface World {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly now: () => number;
  readonly upstreamModels: ReadonlyMap<UpstreamId, UpstreamModel>;
  readonly outcomes: Outcomes;
  readonly cold: ColdRecord;
  /** Cold engines do not count until then: a turn that nobody can have noticed yet. */
  readonly unnoticedUntil: Map<UpstreamId, number>;
  /** Nodes that do nothing until a time; messages to them wait. */
  readonly frozenUntil: number[];
  /** Nodes that each node believes to be alive. */
  readonly seenMembers: (readonly number[])[];
  /** Runs on a node after a delay; lost with the world's loss rate when `lossy`. */
  readonly post: (node: number, delayMs: number, run: () => void, lossy?: boolean) => void;
  readonly dispatch: (node: number, upstream: UpstreamId, request: ModelRequest) => void;
  readonly report: (upstream: UpstreamId) => LoadReport | undefined;
  readonly cacheEvents: (upstream: UpstreamId) => readonly CacheEvent[];
  readonly preemptions: () => number;
}

export interface WorldOptions {
  readonly deployment: Deployment;
  readonly random: Random;
  readonly arrivals: readonly ModelRequest[];
  readonly durationMs: number;
  readonly createNode: CreateNode;
  readonly engine?: (index: number) => Partial<EngineModelSettings>;
  /** Share of the messages between nodes that are lost. */
  readonly loss?: number;
  /** Called before each tick, to inject what happens at that time. */
  readonly script?: (world: World, now: number) => void;
}

interface Attempt {
  readonly node: number;
  readonly request: ModelRequest;
  readonly upstream: UpstreamId;
}

const createUpstreamModels = (options: WorldOptions): ReadonlyMap<UpstreamId, UpstreamModel> => {
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
          ...options.engine?.(engines),
        };
        engines += 1;
        return [upstream.id, { upstream, engine: EngineModel.create(settings, 0), state: 'up' }];
      },
    ),
  );
};

const inFlightOf = (engine: EngineModel): number => engine.load().running + engine.load().waiting;

/** Runs the model on a virtual clock to its end. */
export const runWorld = (options: WorldOptions): World => {
  const { deployment, random, durationMs } = options;
  const clock = VirtualClock.create();
  const attempts = new Map<string, Attempt>();
  const upstreamModels = createUpstreamModels(options);
  const cold: ColdRecord = { mostOverBears: 0, failures: 0, dispatches: 0 };
  const unnoticedUntil = new Map<UpstreamId, number>();
  const frozenUntil: number[] = Array.from({ length: deployment.nodes }, () => 0);
  const everyNode = frozenUntil.map((_, node) => node);
  const seenMembers: (readonly number[])[] = frozenUntil.map(() => everyNode);
  const nodes: PolicyNode[] = [];
  const outcomes = Outcomes.create();
  let attemptCount = 0;

  const post: World['post'] = (node, delayMs, run, lossy = false) => {
    if (lossy && random() < (options.loss ?? 0)) {
      return;
    }
    const deliver = (): void => {
      const wakesAt = frozenUntil[node] ?? 0;
      if (clock.monotonicMs() < wakesAt) {
        clock.after(wakesAt - clock.monotonicMs() + 1, deliver);
      } else {
        run();
      }
    };
    clock.after(delayMs, deliver);
  };

  /** At once, unless the node is frozen. */
  const tell = (index: number, run: (node: PolicyNode) => void): void => {
    const node = nodes[index];
    if (node === undefined) {
      return;
    }
    if (clock.monotonicMs() >= (frozenUntil[index] ?? 0)) {
      run(node);
    } else {
      post(index, 0, () => {
        run(node);
      });
    }
  };

  const close = (id: string): Attempt | undefined => {
    const attempt = attempts.get(id);
    attempts.delete(id);
    return attempt;
  };
  const fail = (id: string, ran: boolean): void => {
    const attempt = close(id);
    if (attempt !== undefined) {
      post(attempt.node, deployment.linkMs, () =>
        nodes[attempt.node]?.failed(attempt.request, attempt.upstream, ran),
      );
    }
  };
  const end = (id: string, atMs: number): void => {
    const attempt = close(id);
    if (attempt !== undefined) {
      outcomes.end(attempt.request.id, atMs);
      tell(attempt.node, (node) => {
        node.ended(attempt.request, attempt.upstream);
      });
    }
  };
  const token = (id: string, index: number, atMs: number): void => {
    const attempt = attempts.get(id);
    if (attempt !== undefined) {
      outcomes.token(attempt.request.id, index, atMs);
      tell(attempt.node, (node) => {
        node.token(attempt.request, attempt.upstream, atMs);
      });
    }
  };
  // Events are handled when the engine stands still, since handling one can submit the next request.
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
      cold.failures += reason.startsWith('cold') ? 1 : 0;
      events.push(() => {
        fail(id, true);
      });
    },
  };

  const recordCold = (upstream: UpstreamId, engine: EngineModel): void => {
    const now = clock.monotonicMs();
    if (!engine.load().warm && now >= (unnoticedUntil.get(upstream) ?? 0)) {
      cold.dispatches += 1;
      cold.mostOverBears = Math.max(cold.mostOverBears, inFlightOf(engine) / engine.streamLimit());
    }
  };

  const dispatch: World['dispatch'] = (node, upstream, request) => {
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
      recordCold(upstream, upstreamModel.engine);
    } else {
      upstreamModel.plain?.submit(id, request.serviceMs, now);
    }
  };

  const advanceBackends = (now: number): void => {
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

  const world: World = {
    deployment,
    random,
    now: clock.monotonicMs,
    upstreamModels,
    outcomes,
    cold,
    unnoticedUntil,
    frozenUntil,
    seenMembers,
    post,
    dispatch,
    report: (upstream) => {
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
    nodes.push(options.createNode(world, node));
  }

  let next = 0;
  const lastArrivalAt = options.arrivals.at(-1)?.arrivedAt ?? 0;
  for (let now = 0; now <= durationMs; now += tickMs) {
    clock.advance(now - clock.monotonicMs());
    if (
      next === options.arrivals.length &&
      attempts.size === 0 &&
      now >= lastArrivalAt + settleMs
    ) {
      break;
    }
    options.script?.(world, now);
    advanceBackends(now);
    for (let arrival = options.arrivals[next]; arrival !== undefined && arrival.arrivedAt <= now;) {
      outcomes.arrive(arrival);
      const request = arrival;
      post(arrival.node, 0, () => nodes[request.node]?.arrive(request));
      next += 1;
      arrival = options.arrivals[next];
    }
    for (const [index, node] of nodes.entries()) {
      if (now >= (frozenUntil[index] ?? 0)) {
        node.tick();
      }
    }
  }
  return world;
};
