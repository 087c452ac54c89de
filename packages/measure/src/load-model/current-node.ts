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
import { createInFlightWork } from './in-flight-work.js';
import { pendingRequestOf, poolOf } from './pending-request.js';
import type { CreateNode, PolicyNode, LoadSimulation } from './simulation.js';
import type { ModelRequest } from './workload.js';

const refreshIntervalMs = 250;
const controlIntervalMs = 100;
const maxRestarts = 2;
/** The VM list lags: a node learns of a leaving upstream within this time. */
const leavingLagMs = 1500;
const learnEveryTokens = 64;
const cacheEventLagMs = 1000;
/** Credits are requested in advance for the arrivals expected within this time. */
const arrivalHorizonMs = 1000;

interface SharedCredits {
  readonly credits: (NodeCredits | undefined)[];
}

const createNode = (
  simulation: LoadSimulation,
  node: number,
  shared: SharedCredits,
): PolicyNode => {
  const { configuration } = simulation.deployment;
  const credits = createNodeCredits(simulation, node, (peer) => shared.credits[peer]);
  shared.credits[node] = credits;
  let members: readonly number[] = [];
  const updateMembers = (): void => {
    const aliveNodes = simulation.aliveNodesSeen[node] ?? [];
    if (aliveNodes !== members) {
      members = aliveNodes;
      credits.setMembers(aliveNodes.map((index) => memberOf(simulation, index)));
    }
  };
  updateMembers();
  const inFlightWork = createInFlightWork();
  const prefixes = PrefixIndex.create();
  const requests = new Map<string, { request: ModelRequest; curve: MemoryCurve | undefined }>();
  const excluded = new Map<string, Set<UpstreamId>>();
  const restarts = new Map<string, number>();
  const arrivals = new Map<string, number>();
  const leavingUpstreams = new Set<UpstreamId>();
  const leavingDetected = new Set<UpstreamId>();
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
        ownUsage: inFlightWork.use,
        now: simulation.now(),
        wallNow: simulation.now(),
        random: simulation.random,
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
        inFlightWork.add(request, upstream.id, curve ?? [], simulation.now());
        prefixes.recordDispatch(upstream.id, request.prefixes);
        return upstream.id;
      })
      .toMaybe()
      .extract();
  };

  const step = (event: AdmissionEvent): void => {
    const result = stepAdmission<UpstreamId>(admission, event, simulation.now(), ({ id }) =>
      place(id),
    );
    admission = result.state;
    for (const action of result.actions) {
      const request = requests.get(action.id)?.request;
      if (action.kind === 'refuse') {
        simulation.outcomes.refuse(action.id);
        requests.delete(action.id);
      } else if (request !== undefined) {
        simulation.dispatch(node, action.placement, request);
      }
    }
  };

  const createPendingRequest = (request: ModelRequest) => {
    const curve =
      request.service.kind === 'plain'
        ? undefined
        : memoryCurve(estimates, lengthKey(request.service.id, 'main'), {
            promptTokens: request.promptTokens,
            tokensSoFar: 0,
          });
    requests.set(request.id, { request, curve });
    return pendingRequestOf(request, configuration, curve === undefined ? 1 : peakOf(curve));
  };

  /**
   * Work that the node wants to send to one upstream: its part of the waiting and of the expected
   * requests.
   */
  const demandFor = (upstream: Upstream) => {
    const pools = new Set(upstream.services.map((id) => configuration.services[id]?.model ?? id));
    let count = 0;
    let cost = 0;
    for (const pool of pools) {
      const waiting = waitingInPool(admission, pool);
      count += waiting.requests + (arrivals.get(pool) ?? 0);
      cost += waiting.cost;
    }
    const [first = ''] = upstream.services;
    const candidateCount =
      credits.table().candidates.get(first)?.get(upstream.version)?.length ?? 1;
    const requests = Math.ceil(count / candidateCount);
    return { requests, memoryTokens: Math.max(cost / candidateCount, requests * 1000) };
  };

  const applyCacheEvents = (): void => {
    for (const id of credits.table().candidateOwners.keys()) {
      const events = simulation.cacheEvents(id).slice(-50);
      simulation.runOnNode(node, cacheEventLagMs, () => {
        prefixes.apply(id, events);
      });
    }
  };

  const learnOutputLength = (request: ModelRequest, tokens: number, ended: boolean): void => {
    const fromTokens = Math.floor((tokens - (ended ? 1 : 0)) / learnEveryTokens) * learnEveryTokens;
    estimates = learnLength(estimates, lengthKey(request.service.id, 'main'), {
      fromTokens: ended ? fromTokens : Math.max(0, tokens - learnEveryTokens),
      toTokens: tokens,
      ended,
    });
  };

  const refresh = (): void => {
    refreshedAt = simulation.now();
    inFlightWork.refresh(estimates);
    for (const [pool, rate] of arrivals) {
      arrivals.set(pool, rate * Math.exp(-refreshIntervalMs / arrivalHorizonMs));
    }
    for (const [id, { state }] of simulation.upstreamModels) {
      if (state !== 'up' && state !== 'absent' && !leavingDetected.has(id)) {
        leavingDetected.add(id);
        simulation.runOnNode(node, simulation.random() * leavingLagMs, () =>
          leavingUpstreams.add(id),
        );
      }
    }
    if (node === 0 || simulation.random() < 0.25) {
      applyCacheEvents();
    }
  };

  const runControl = (): void => {
    updateMembers();
    credits.tick((id) => {
      const upstream = configuration.upstreams[id];
      return inFlightWork.takeInFlight(
        id,
        upstream === undefined ? { requests: 0, memoryTokens: 0 } : demandFor(upstream),
      );
    });
    limits = credits.limits();
  };

  const restart = (request: ModelRequest): void => {
    const count = (restarts.get(request.id) ?? 0) + 1;
    restarts.set(request.id, count);
    const retry = createPendingRequest(request);
    if (count > maxRestarts) {
      step({ kind: 'end', id: request.id });
      return;
    }
    simulation.outcomes.restart(request.id);
    const allowedMs = retry.deadlineAt - retry.arrivedAt;
    step({ kind: 'return', request: { ...retry, deadlineAt: simulation.now() + allowedMs } });
  };

  return {
    arrive: (request) => {
      const pool = poolOf(request);
      arrivals.set(pool, (arrivals.get(pool) ?? 0) + 1);
      step({ kind: 'arrive', request: createPendingRequest(request) });
    },
    tick: () => {
      if (simulation.now() - refreshedAt >= refreshIntervalMs) {
        refresh();
      }
      if (simulation.now() - controlledAt >= controlIntervalMs) {
        controlledAt = simulation.now();
        runControl();
      }
      step({ kind: 'tick' });
    },
    token: (request, _, atMs) => {
      const tokens = inFlightWork.token(request.id, atMs);
      if (tokens % learnEveryTokens === 0) {
        learnOutputLength(request, tokens, false);
      }
    },
    ended: (request) => {
      const tokens = inFlightWork.remove(request.id, 'completed');
      if (tokens > 0) {
        learnOutputLength(request, tokens, true);
      }
      requests.delete(request.id);
      step({ kind: 'end', id: request.id });
    },
    failed: (request, upstream, ran) => {
      inFlightWork.remove(request.id, 'failed');
      const excludedUpstreams = excluded.get(request.id) ?? new Set<UpstreamId>();
      excluded.set(request.id, excludedUpstreams.add(upstream));
      // A call that may have run and is no lookup gets the answer "unknown" and is not retried; all
      // generations in this model allow a restart.
      if (request.service.kind === 'plain' && ran && request.service.class !== 'lookup') {
        step({ kind: 'end', id: request.id });
      } else {
        restart(request);
      }
    },
  };
};

/** Creates nodes that use the decision packages of this repository. */
export const createCurrentPolicy = (): CreateNode => {
  const shared: SharedCredits = { credits: [] };
  return (simulation, node) => createNode(simulation, node, shared);
};
