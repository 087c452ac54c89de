import type { AdmissionEvent, AdmissionState } from '@zinniagrade/admission';
import { Admission, stepAdmission, waitingInPool } from '@zinniagrade/admission';
import type { MemoryCurve } from '@zinniagrade/length-estimates';
import {
  LengthEstimates,
  learnLength,
  lengthKey,
  memoryCurve,
  peakOf,
} from '@zinniagrade/length-estimates';
import { PrefixIndex, chooseUpstream } from '@zinniagrade/routing';
import type { NodeView, Upstream, UpstreamId } from '@zinniagrade/types';
import type { NodeCredits } from './node-credits.js';
import { createNodeCredits, memberOf } from './node-credits.js';
import { createOwnWork } from './own-work.js';
import { pendingOf, poolOf } from './pending.js';
import type { CreateNode, PolicyNode, World } from './world.js';
import type { ModelRequest } from './workload.js';

const refreshMs = 250;
const controlMs = 100;
const maxRestarts = 2;
/** The VM list lags: a leaving upstream is known to a node after this time at the latest. */
const leavingLagMs = 1500;
const learnEveryTokens = 64;
const cacheEventLagMs = 1000;
/** Arrivals over this time are asked for in advance. */
const foresightMs = 1000;

interface Shared {
  readonly credits: (NodeCredits | undefined)[];
}

const createNode = (world: World, node: number, shared: Shared): PolicyNode => {
  const { configuration } = world.deployment;
  const credits = createNodeCredits(world, node, (peer) => shared.credits[peer]);
  shared.credits[node] = credits;
  let members: readonly number[] = [];
  const seeMembers = (): void => {
    const seen = world.seenMembers[node] ?? [];
    if (seen !== members) {
      members = seen;
      credits.setMembers(seen.map((index) => memberOf(world, index)));
    }
  };
  seeMembers();
  const work = createOwnWork();
  const prefixes = PrefixIndex.create();
  const requests = new Map<string, { request: ModelRequest; curve: MemoryCurve | undefined }>();
  const excluded = new Map<string, Set<UpstreamId>>();
  const restarts = new Map<string, number>();
  const arrivals = new Map<string, number>();
  const leavingUpstreams = new Set<UpstreamId>();
  const leavingSeen = new Set<UpstreamId>();
  let estimates = LengthEstimates.create();
  let admission: AdmissionState = Admission.create();
  let refreshedAt = 0;
  let controlledAt = 0;
  let limits = credits.limits();

  const view = (): NodeView => ({
    configuration,
    members: credits.table().members,
    withdrawnDataCentres: new Set(),
    leavingUpstreams,
    limits,
    loadReports: new Map(),
    moveShares: new Map(),
  });

  const place = (id: string): UpstreamId | undefined => {
    const entry = requests.get(id);
    if (entry === undefined) {
      return undefined;
    }
    const { request, curve } = entry;
    const choice = chooseUpstream(
      {
        table: credits.table(),
        view: view(),
        ownUsage: work.use,
        now: world.now(),
        wallNow: world.now(),
        random: world.random,
      },
      {
        service: request.service,
        ...(curve === undefined ? {} : { memory: curve }),
        tokensPerBlock: 64,
        cachedBlocks: prefixes.countCachedBlocks(request.prefixes),
        excluded: excluded.get(id) ?? new Set(),
      },
    );
    return choice
      .map(({ upstream }) => {
        work.add(request, upstream.id, curve ?? [], world.now());
        prefixes.recordDispatch(upstream.id, request.prefixes);
        return upstream.id;
      })
      .toMaybe()
      .extract();
  };

  const step = (event: AdmissionEvent): void => {
    const result = stepAdmission<UpstreamId>(admission, event, world.now(), ({ id }) => place(id));
    admission = result.state;
    for (const action of result.actions) {
      const request = requests.get(action.id)?.request;
      if (action.kind === 'refuse') {
        world.outcomes.refuse(action.id);
        requests.delete(action.id);
      } else if (request !== undefined) {
        world.dispatch(node, action.placement, request);
      }
    }
  };

  const pending = (request: ModelRequest) => {
    const curve =
      request.service.kind === 'plain'
        ? undefined
        : memoryCurve(estimates, lengthKey(request.service.id, 'main'), {
            promptTokens: request.promptTokens,
            tokensSoFar: 0,
          });
    requests.set(request.id, { request, curve });
    return pendingOf(request, configuration, curve === undefined ? 1 : peakOf(curve));
  };

  /** What the node would send to one upstream: its part of the waiting and of the coming requests. */
  const wantedOn = (upstream: Upstream) => {
    const pools = new Set(upstream.services.map((id) => configuration.services[id]?.model ?? id));
    let count = 0;
    let cost = 0;
    for (const pool of pools) {
      const waiting = waitingInPool(admission, pool);
      count += waiting.requests + (arrivals.get(pool) ?? 0);
      cost += waiting.cost;
    }
    const [first = ''] = upstream.services;
    const alike = credits.table().candidates.get(first)?.get(upstream.version)?.length ?? 1;
    const requests = Math.ceil(count / alike);
    return { requests, memoryTokens: Math.max(cost / alike, requests * 1000) };
  };

  const applyCacheEvents = (): void => {
    for (const id of credits.table().candidateOwners.keys()) {
      const events = world.cacheEvents(id).slice(-50);
      world.post(node, cacheEventLagMs, () => {
        prefixes.apply(id, events);
      });
    }
  };

  const learn = (request: ModelRequest, tokens: number, ended: boolean): void => {
    const fromTokens = Math.floor((tokens - (ended ? 1 : 0)) / learnEveryTokens) * learnEveryTokens;
    estimates = learnLength(estimates, lengthKey(request.service.id, 'main'), {
      fromTokens: ended ? fromTokens : Math.max(0, tokens - learnEveryTokens),
      toTokens: tokens,
      ended,
    });
  };

  const refresh = (): void => {
    refreshedAt = world.now();
    work.refresh(estimates);
    for (const [pool, rate] of arrivals) {
      arrivals.set(pool, rate * Math.exp(-refreshMs / foresightMs));
    }
    for (const [id, { state }] of world.upstreamModels) {
      if (state !== 'up' && state !== 'absent' && !leavingSeen.has(id)) {
        leavingSeen.add(id);
        world.post(node, world.random() * leavingLagMs, () => leavingUpstreams.add(id));
      }
    }
    if (node === 0 || world.random() < 0.25) {
      applyCacheEvents();
    }
  };

  const control = (): void => {
    seeMembers();
    credits.tick((id) => {
      const upstream = configuration.upstreams[id];
      return work.takeInFlight(
        id,
        upstream === undefined ? { requests: 0, memoryTokens: 0 } : wantedOn(upstream),
      );
    });
    limits = credits.limits();
  };

  const restart = (request: ModelRequest): void => {
    const count = (restarts.get(request.id) ?? 0) + 1;
    restarts.set(request.id, count);
    const retry = pending(request);
    if (count > maxRestarts) {
      step({ kind: 'end', id: request.id });
      return;
    }
    world.outcomes.restart(request.id);
    const allowedMs = retry.deadlineAt - retry.arrivedAt;
    step({ kind: 'return', request: { ...retry, deadlineAt: world.now() + allowedMs } });
  };

  return {
    arrive: (request) => {
      const pool = poolOf(request);
      arrivals.set(pool, (arrivals.get(pool) ?? 0) + 1);
      step({ kind: 'arrive', request: pending(request) });
    },
    tick: () => {
      if (world.now() - refreshedAt >= refreshMs) {
        refresh();
      }
      if (world.now() - controlledAt >= controlMs) {
        controlledAt = world.now();
        control();
      }
      step({ kind: 'tick' });
    },
    token: (request, _, atMs) => {
      const tokens = work.token(request.id, atMs);
      if (tokens % learnEveryTokens === 0) {
        learn(request, tokens, false);
      }
    },
    ended: (request) => {
      const tokens = work.remove(request.id, 'completed');
      if (tokens > 0) {
        learn(request, tokens, true);
      }
      requests.delete(request.id);
      step({ kind: 'end', id: request.id });
    },
    failed: (request, upstream, ran) => {
      work.remove(request.id, 'failed');
      const avoid = excluded.get(request.id) ?? new Set<UpstreamId>();
      excluded.set(request.id, avoid.add(upstream));
      // A call that may have run is answered as unknown; generations here allow a restart.
      if (request.service.kind === 'plain' && ran && request.service.class !== 'lookup') {
        step({ kind: 'end', id: request.id });
      } else {
        restart(request);
      }
    },
  };
};

/** Nodes with the policies of this repository. */
export const createCurrent = (): CreateNode => {
  const shared: Shared = { credits: [] };
  return (world, node) => createNode(world, node, shared);
};
