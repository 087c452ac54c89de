import {
  fixedConcurrency,
  leastConnections,
  maxQueueWaitMs,
  shouldRetry,
} from '@zinniagrade/naive';
import type { UpstreamId } from '@zinniagrade/types';
import type { CreateNode, World } from './world.js';
import type { ModelRequest } from './workload.js';

interface Waiting {
  readonly request: ModelRequest;
  readonly since: number;
}

/** A node with the naive policy: a queue for each service, least connections, and retries. */
export const createNaiveNode: CreateNode = (world: World, node: number) => {
  const queues = new Map<string, Waiting[]>();
  const counts = new Map<UpstreamId, number>();
  const attempts = new Map<string, number>();
  const upstreams = Object.values(world.deployment.configuration.upstreams);

  const change = (upstream: UpstreamId, by: number): void => {
    counts.set(upstream, (counts.get(upstream) ?? 0) + by);
  };
  const queue = (request: ModelRequest): void => {
    const list = queues.get(request.service.id) ?? [];
    list.push({ request, since: world.now() });
    queues.set(request.service.id, list);
  };
  const place = (request: ModelRequest): boolean => {
    const serving = upstreams.filter(({ services }) => services.includes(request.service.id));
    const slots = serving[0]?.capacity.slots ?? 1;
    const chosen = leastConnections(
      serving.map(({ id }) => id),
      counts,
      fixedConcurrency(slots, world.deployment.nodes),
      world.random,
    );
    if (chosen !== undefined) {
      change(chosen, 1);
      world.dispatch(node, chosen, request);
    }
    return chosen !== undefined;
  };

  return {
    arrive: queue,
    tick: () => {
      for (const list of queues.values()) {
        for (let head = list[0]; head !== undefined; head = list[0]) {
          if (world.now() - head.since > maxQueueWaitMs) {
            world.outcomes.refuse(head.request.id);
          } else if (!place(head.request)) {
            break;
          }
          list.shift();
        }
      }
    },
    token: () => undefined,
    ended: (_, upstream) => {
      change(upstream, -1);
    },
    failed: (request, upstream) => {
      change(upstream, -1);
      const count = (attempts.get(request.id) ?? 0) + 1;
      attempts.set(request.id, count);
      if (shouldRetry(count)) {
        queue(request);
      }
    },
  };
};
