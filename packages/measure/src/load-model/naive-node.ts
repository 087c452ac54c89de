import {
  fixedConcurrency,
  leastConnections,
  maxQueueWaitMs,
  shouldRetry,
} from '@zinniagrade/naive';
import type { UpstreamId } from '@zinniagrade/types';
import type { CreateNode, LoadSimulation } from './simulation.js';
import type { ModelRequest } from './workload.js';

interface QueuedRequest {
  readonly request: ModelRequest;
  readonly queuedAt: number;
}

/** A node with the naive policy: one queue for each service, least connections, and retries. */
export const createNaiveNode: CreateNode = (simulation: LoadSimulation, node: number) => {
  const queues = new Map<string, QueuedRequest[]>();
  const inFlightCounts = new Map<UpstreamId, number>();
  const attempts = new Map<string, number>();
  const upstreams = Object.values(simulation.deployment.configuration.upstreams);

  const addInFlight = (upstream: UpstreamId, delta: number): void => {
    inFlightCounts.set(upstream, (inFlightCounts.get(upstream) ?? 0) + delta);
  };
  const enqueue = (request: ModelRequest): void => {
    const list = queues.get(request.service.id) ?? [];
    list.push({ request, queuedAt: simulation.now() });
    queues.set(request.service.id, list);
  };
  const tryDispatch = (request: ModelRequest): boolean => {
    const serving = upstreams.filter(({ services }) => services.includes(request.service.id));
    const slots = serving[0]?.capacity.slots ?? 1;
    const chosen = leastConnections(
      serving.map(({ id }) => id),
      inFlightCounts,
      fixedConcurrency(slots, simulation.deployment.nodes),
      simulation.random,
    );
    if (chosen !== undefined) {
      addInFlight(chosen, 1);
      simulation.dispatch(node, chosen, request);
    }
    return chosen !== undefined;
  };

  return {
    arrive: enqueue,
    tick: () => {
      for (const list of queues.values()) {
        for (let head = list[0]; head !== undefined; head = list[0]) {
          if (simulation.now() - head.queuedAt > maxQueueWaitMs) {
            simulation.outcomes.refuse(head.request.id);
          } else if (!tryDispatch(head.request)) {
            break;
          }
          list.shift();
        }
      }
    },
    token: () => undefined,
    ended: (_, upstream) => {
      addInFlight(upstream, -1);
    },
    failed: (request, upstream) => {
      addInFlight(upstream, -1);
      const count = (attempts.get(request.id) ?? 0) + 1;
      attempts.set(request.id, count);
      if (shouldRetry(count)) {
        enqueue(request);
      }
    },
  };
};
