import type { AdmissionEvent, AdmissionState } from '@zinniagrade/admission';
import { Admission, stepAdmission } from '@zinniagrade/admission';
import type { UpstreamId } from '@zinniagrade/types';
import { pendingOf } from './pending.js';
import type { UpstreamModel, CreateNode, World } from './world.js';
import type { ModelRequest } from './workload.js';

interface Stream {
  readonly request: ModelRequest;
  tokens: number;
}

/** Most memory that streams of known length will need at once, when all go on at the same speed. */
const futurePeak = (streams: readonly Stream[]): number => {
  const left = streams
    .map(({ request, tokens }) => ({
      steps: request.outputTokens - tokens,
      memory: request.promptTokens + tokens,
    }))
    .sort((a, b) => b.steps - a.steps);
  let peak = 0;
  let memory = 0;
  for (const [index, { steps, memory: own }] of left.entries()) {
    memory += own;
    peak = Math.max(peak, memory + steps * (index + 1));
  }
  return peak;
};

/** One scheduler over all nodes that knows every length and the load at once. */
const createScheduler = (world: World) => {
  const streams = new Map<UpstreamId, Map<string, Stream>>();
  const requests = new Map<string, ModelRequest>();
  let state: AdmissionState = Admission.create();
  const on = (upstream: UpstreamId): Map<string, Stream> => {
    const known = streams.get(upstream) ?? new Map<string, Stream>();
    streams.set(upstream, known);
    return known;
  };

  /** Part of the upstream that stays free with the request; undefined when it does not fit. */
  const room = ({ upstream, engine, state: life }: UpstreamModel, request: ModelRequest) => {
    const present = [...on(upstream.id).values()];
    const slots = engine === undefined ? upstream.capacity.slots : engine.streamLimit();
    if (
      life !== 'up' ||
      !upstream.services.includes(request.service.id) ||
      present.length + 1 > slots
    ) {
      return undefined;
    }
    const free = 1 - (present.length + 1) / slots;
    if (engine === undefined) {
      return free;
    }
    // The engine needs one token of memory for each stream while it runs a step.
    const peak = futurePeak([...present, { request, tokens: 0 }]) + present.length + 1;
    const memory = 1 - peak / engine.load().memoryTokensTotal;
    return memory < 0 ? undefined : Math.min(free, memory);
  };

  const place = (request: ModelRequest): UpstreamId | undefined => {
    let best: UpstreamId | undefined;
    let most = -1;
    for (const upstreamModel of world.upstreamModels.values()) {
      const free = room(upstreamModel, request);
      if (free !== undefined && free > most) {
        most = free;
        best = upstreamModel.upstream.id;
      }
    }
    return best;
  };

  const step = (event: AdmissionEvent): void => {
    const result = stepAdmission<UpstreamId>(state, event, world.now(), ({ id }) => {
      const request = requests.get(id);
      const chosen = request === undefined ? undefined : place(request);
      if (request !== undefined && chosen !== undefined) {
        on(chosen).set(id, { request, tokens: 0 });
      }
      return chosen;
    });
    state = result.state;
    for (const action of result.actions) {
      const request = requests.get(action.id);
      if (action.kind === 'refuse') {
        world.outcomes.refuse(action.id);
      } else if (request !== undefined) {
        world.dispatch(request.node, action.placement, request);
      }
    }
  };
  const pending = (request: ModelRequest) =>
    pendingOf(
      request,
      world.deployment.configuration,
      request.service.kind === 'plain' ? 1 : request.promptTokens + request.outputTokens,
    );
  let tickedAt = -1;

  return {
    arrive: (request: ModelRequest): void => {
      requests.set(request.id, request);
      step({ kind: 'arrive', request: pending(request) });
    },
    tick: (): void => {
      if (world.now() > tickedAt) {
        tickedAt = world.now();
        step({ kind: 'tick' });
      }
    },
    token: (request: ModelRequest, upstream: UpstreamId): void => {
      const stream = on(upstream).get(request.id);
      if (stream !== undefined) {
        stream.tokens += 1;
      }
    },
    ended: (request: ModelRequest, upstream: UpstreamId): void => {
      on(upstream).delete(request.id);
      step({ kind: 'end', id: request.id });
    },
    failed: (request: ModelRequest, upstream: UpstreamId): void => {
      on(upstream).delete(request.id);
      world.outcomes.restart(request.id);
      const { deadlineAt, ...rest } = pending(request);
      const late = deadlineAt + world.now() - request.arrivedAt;
      step({ kind: 'return', request: { ...rest, deadlineAt: late } });
    },
  };
};

/** Nodes that share one scheduler without any delay between them. */
export const createOracle = (): CreateNode => {
  let scheduler: ReturnType<typeof createScheduler> | undefined;
  return (world) => (scheduler ??= createScheduler(world));
};
