import type { Random } from '@zinniagrade/clock';
import type { DataCentreId, Milliseconds, NodeId } from '@zinniagrade/types';
import type { SimulatedNode } from './configuration-simulation.js';

const lookupMs: Milliseconds = 20;
const shortestGenerationMs: Milliseconds = 500;
const longestGenerationMs: Milliseconds = 5000;
const lookupDeadlineMs: Milliseconds = 1000;
/** Time after which a caller retries, at a random node, a request that is at no upstream. */
const retryMs: Milliseconds = 300;
const lookupShare = 0.7;

interface Request {
  readonly isLookup: boolean;
  readonly arrivedAt: Milliseconds;
  readonly durationMs: Milliseconds;
  /** Time of the caller's next attempt while the request is at no upstream. */
  nextAttemptAt: Milliseconds;
  placement?: { readonly dataCentre: DataCentreId; readonly endsAt: Milliseconds };
}

/**
 * Callers that send lookups and generations through random nodes to data centres that the node
 * routes to.
 */
export interface WithdrawalLoad {
  /** Advances the load to `now`; the upstreams of `downDataCentre` are off. */
  readonly step: (
    now: Milliseconds,
    nodes: readonly SimulatedNode[],
    downDataCentre: DataCentreId | undefined,
  ) => void;
  /** Time of each node's last dispatch to the data centre. */
  readonly lastDispatches: (dataCentre: DataCentreId) => ReadonlyMap<NodeId, Milliseconds>;
  readonly total: () => number;
  readonly completed: () => number;
  readonly lookups: () => number;
  readonly lateLookups: () => number;
}

export const WithdrawalLoad = {
  create: (
    dataCentres: readonly DataCentreId[],
    requestsPerStep: number,
    random: Random,
  ): WithdrawalLoad => {
    let open: Request[] = [];
    const lastDispatchTimes = new Map<DataCentreId, Map<NodeId, Milliseconds>>();
    const counts = { total: 0, lost: 0, lookups: 0, late: 0 };

    const addRequest = (now: Milliseconds): void => {
      const isLookup = random() < lookupShare;
      counts.total += 1;
      counts.lookups += isLookup ? 1 : 0;
      const spanMs = longestGenerationMs - shortestGenerationMs;
      const durationMs = isLookup ? lookupMs : shortestGenerationMs + random() * spanMs;
      open.push({ isLookup, arrivedAt: now, durationMs, nextAttemptAt: now });
    };

    const send = (request: Request, now: Milliseconds, nodes: readonly SimulatedNode[]): void => {
      const node = nodes[Math.floor(random() * nodes.length)];
      request.nextAttemptAt = now + retryMs;
      if (node?.acceptsWork() !== true) {
        return;
      }
      const allowed = dataCentres.filter((dataCentre) => node.routesTo(dataCentre));
      const dataCentre = allowed[Math.floor(random() * allowed.length)];
      if (dataCentre !== undefined) {
        const byNode = lastDispatchTimes.get(dataCentre) ?? new Map<NodeId, Milliseconds>();
        lastDispatchTimes.set(dataCentre, byNode.set(node.nodeId, now));
        request.placement = { dataCentre, endsAt: now + request.durationMs };
      }
    };

    const recordEnd = (request: Request, now: Milliseconds): void => {
      counts.late += request.isLookup && now - request.arrivedAt > lookupDeadlineMs ? 1 : 0;
    };

    return {
      step: (now, nodes, downDataCentre) => {
        for (let index = 0; index < requestsPerStep; index += 1) {
          addRequest(now);
        }
        const stillOpen: Request[] = [];
        for (const request of open) {
          if (request.placement?.dataCentre === downDataCentre && downDataCentre !== undefined) {
            if (!request.isLookup) {
              counts.lost += 1;
              continue;
            }
            delete request.placement;
            request.nextAttemptAt = now + retryMs;
          }
          if (request.placement === undefined && now >= request.nextAttemptAt) {
            send(request, now, nodes);
          }
          if (request.placement !== undefined && now >= request.placement.endsAt) {
            recordEnd(request, now);
          } else {
            stillOpen.push(request);
          }
        }
        open = stillOpen;
      },
      lastDispatches: (dataCentre) =>
        lastDispatchTimes.get(dataCentre) ?? new Map<NodeId, Milliseconds>(),
      total: () => counts.total - open.length,
      completed: () => counts.total - open.length - counts.lost,
      lookups: () => counts.lookups,
      lateLookups: () => counts.late,
    };
  },
};
