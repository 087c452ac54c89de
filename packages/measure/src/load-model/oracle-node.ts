import type { AdmissionEvent, AdmissionState } from '@zinniagrade/admission';
import { Admission, stepAdmission } from '@zinniagrade/admission';
import type { UpstreamId } from '@zinniagrade/types';
import { pendingRequestOf } from './pending-request.js';
import type { UpstreamModel, CreateNode, LoadSimulation } from './simulation.js';
import type { ModelRequest } from './workload.js';

interface Stream {
  readonly request: ModelRequest;
  tokens: number;
}

/** Peak memory in tokens that streams of known length will need if all advance at the same speed. */
const peakMemoryOf = (streams: readonly Stream[]): number => {
  const remaining = streams
    .map(({ request, tokens }) => ({
      steps: request.outputTokens - tokens,
      memory: request.promptTokens + tokens,
    }))
    .sort((a, b) => b.steps - a.steps);
  let peak = 0;
  let memory = 0;
  for (const [index, { steps, memory: own }] of remaining.entries()) {
    memory += own;
    peak = Math.max(peak, memory + steps * (index + 1));
  }
  return peak;
};

/**
 * One scheduler for all nodes that knows every output length and the current load without delay.
 */
const createScheduler = (simulation: LoadSimulation) => {
  const streams = new Map<UpstreamId, Map<string, Stream>>();
  const requests = new Map<string, ModelRequest>();
  let state: AdmissionState = Admission.create();
  const streamsOn = (upstream: UpstreamId): Map<string, Stream> => {
    const known = streams.get(upstream) ?? new Map<string, Stream>();
    streams.set(upstream, known);
    return known;
  };

  /**
   * Share of the upstream that stays free once it has the request; undefined if the request does
   * not fit.
   */
  const freeShare = (
    { upstream, engine, state: lifecycle }: UpstreamModel,
    request: ModelRequest,
  ) => {
    const present = [...streamsOn(upstream.id).values()];
    const slots = engine === undefined ? upstream.capacity.slots : engine.streamLimit();
    if (
      lifecycle !== 'up' ||
      !upstream.services.includes(request.service.id) ||
      present.length + 1 > slots
    ) {
      return undefined;
    }
    const free = 1 - (present.length + 1) / slots;
    if (engine === undefined) {
      return free;
    }
    // The engine needs one more token of memory for each stream while it runs a step.
    const peak = peakMemoryOf([...present, { request, tokens: 0 }]) + present.length + 1;
    const memory = 1 - peak / engine.load().memoryTokensTotal;
    return memory < 0 ? undefined : Math.min(free, memory);
  };

  const place = (request: ModelRequest): UpstreamId | undefined => {
    let best: UpstreamId | undefined;
    let largestFree = -1;
    for (const upstreamModel of simulation.upstreamModels.values()) {
      const free = freeShare(upstreamModel, request);
      if (free !== undefined && free > largestFree) {
        largestFree = free;
        best = upstreamModel.upstream.id;
      }
    }
    return best;
  };

  const step = (event: AdmissionEvent): void => {
    const result = stepAdmission<UpstreamId>(state, event, simulation.now(), ({ id }) => {
      const request = requests.get(id);
      const chosen = request === undefined ? undefined : place(request);
      if (request !== undefined && chosen !== undefined) {
        streamsOn(chosen).set(id, { request, tokens: 0 });
      }
      return chosen;
    });
    state = result.state;
    for (const action of result.actions) {
      const request = requests.get(action.id);
      if (action.kind === 'refuse') {
        simulation.outcomes.refuse(action.id);
      } else if (request !== undefined) {
        simulation.dispatch(request.node, action.placement, request);
      }
    }
  };
  const pending = (request: ModelRequest) =>
    pendingRequestOf(
      request,
      simulation.deployment.configuration,
      request.service.kind === 'plain' ? 1 : request.promptTokens + request.outputTokens,
    );
  let tickedAt = -1;

  return {
    arrive: (request: ModelRequest): void => {
      requests.set(request.id, request);
      step({ kind: 'arrive', request: pending(request) });
    },
    tick: (): void => {
      if (simulation.now() > tickedAt) {
        tickedAt = simulation.now();
        step({ kind: 'tick' });
      }
    },
    token: (request: ModelRequest, upstream: UpstreamId): void => {
      const stream = streamsOn(upstream).get(request.id);
      if (stream !== undefined) {
        stream.tokens += 1;
      }
    },
    ended: (request: ModelRequest, upstream: UpstreamId): void => {
      streamsOn(upstream).delete(request.id);
      step({ kind: 'end', id: request.id });
    },
    failed: (request: ModelRequest, upstream: UpstreamId): void => {
      streamsOn(upstream).delete(request.id);
      simulation.outcomes.restart(request.id);
      const { deadlineAt, ...rest } = pending(request);
      const extendedDeadline = deadlineAt + simulation.now() - request.arrivedAt;
      step({ kind: 'return', request: { ...rest, deadlineAt: extendedDeadline } });
    },
  };
};

/** Creates nodes that share one scheduler without any delay between them. */
export const createOraclePolicy = (): CreateNode => {
  let scheduler: ReturnType<typeof createScheduler> | undefined;
  return (simulation) => (scheduler ??= createScheduler(simulation));
};
