import type { Clock } from '@zinniagrade/clock';
import {
  PeerDemand,
  UrgentArrivals,
  type TokensOfAccount,
  type UpstreamUse,
  type UrgentNeed,
  type UrgentRoom,
  type WaitingRequest,
} from '@zinniagrade/serving';
import { z } from 'zod';
import type { NodePeers } from './node-peers.js';
import type { RowFields } from './peer-topics.js';

/** A request that waits at this node until a time at the latest. */
export interface WaitingHere {
  readonly request: WaitingRequest;
  readonly waitUntilMs: number;
}

export interface DemandOptions {
  readonly peers: Pick<NodePeers, 'openTopic' | 'isSharedByAll'>;
  readonly nodeCount: () => number;
  /** What waits for a service at this node. */
  readonly waitingHere: (service: string) => Iterable<WaitingHere>;
  /** Called after the demand of another node has become smaller. */
  readonly onLess: () => void;
  readonly serviceOf: (upstream: string) => string | undefined;
}

/** What waits for engines at other nodes, and what their urgent requests need; topic `demand`. */
export interface DemandSharing {
  /** To be called when requests wait, or no longer wait, for a service at this node. */
  readonly onWaitingChanged: (service: string) => void;
  /** Records an urgent or other request of a service whose requests differ in priority. */
  readonly recordArrival: (service: string, request: WaitingRequest, maxWaitMs: number) => void;
  /** Memory that other nodes need first; none while a node lacks the topic. */
  readonly tokensAhead: (
    service: string,
    request: WaitingRequest,
    tokensOf: TokensOfAccount,
  ) => number;
  readonly urgentRoom: (service: string, priority: number) => UrgentRoom;
  /** To be called with the use of upstreams that another node announces. */
  readonly onPeerUse: (node: string, uses: readonly UpstreamUse[]) => void;
  readonly stop: () => void;
}

interface ServiceDemand {
  readonly peers: PeerDemand;
  readonly arrivals: UrgentArrivals;
  isScheduled: boolean;
  waitingSharedAtMs: number;
  waitingRow: RowFields;
  needsSharedAtMs: number;
  sharedNeeds: readonly UrgentNeed[];
}

const topic = 'demand';
/** Requests wait for 0.75 s and longer; all nodes should know of them for most of that time. */
const minWaitingIntervalMs = 500;
/** Bounds the rows that a node receives to 200 a second, about 12 KB. */
const waitingIntervalMsPerNode = 5;
/** What urgent requests need is measured over 10 s. */
const minNeedsIntervalMs = 5000;
const needsIntervalMsPerNode = 20;
/** Needs that changed by less are not worth a row. */
const needsTolerance = 0.25;
/** Lets requests that start at once start without a row. */
const shareDelayMs = 10;
/** Later ones have others before them at every node. */
const maxSharedRequests = 8;
const checkNeedsIntervalMs = 1000;
/** Under this name the needs of this node are added to those of the others. */
const self = '';
const noRoom: UrgentRoom = { tokens: 0, tokensEach: 0 };

const amount = z.number().min(0).max(1e9);
const waitingRow = z.tuple([
  z.literal('waiting'),
  z.string(),
  z.array(z.tuple([z.number(), z.boolean(), amount, amount, amount, z.string()]).rest(z.unknown())),
]);
const needsRow = z.tuple([
  z.literal('needs'),
  z.string(),
  z.array(z.tuple([z.number(), amount, amount]).rest(z.unknown())),
]);

const isNear = (now: number, before: number): boolean =>
  Math.abs(now - before) <= needsTolerance * before;

const haveChanged = (before: readonly UrgentNeed[], now: readonly UrgentNeed[]): boolean =>
  before.length !== now.length ||
  now.some(({ priority, tokens, tokensEach }) => {
    const known = before.find((need) => need.priority === priority);
    return (
      known === undefined || !isNear(tokensEach, known.tokensEach) || !isNear(tokens, known.tokens)
    );
  });

export const DemandSharing = {
  create: (clock: Clock, options: DemandOptions): DemandSharing => {
    const services = new Map<string, ServiceDemand>();
    /** Memory that the running requests of each node take, by service. */
    const usedByNode = new Map<string, ReadonlyMap<string, number>>();

    const demandOf = (service: string): ServiceDemand => {
      const known = services.get(service);
      if (known !== undefined) {
        return known;
      }
      const created: ServiceDemand = {
        peers: PeerDemand.create(),
        arrivals: UrgentArrivals.create(),
        isScheduled: false,
        waitingSharedAtMs: -Infinity,
        waitingRow: ['waiting', service, []],
        needsSharedAtMs: -Infinity,
        sharedNeeds: [],
      };
      services.set(service, created);
      return created;
    };

    const toNeedsRow = (service: string, needs: readonly UrgentNeed[]): RowFields => [
      'needs',
      service,
      needs.map(({ priority, tokens, tokensEach }) => [priority, Math.round(tokens), tokensEach]),
    ];

    const receiveWaiting = (node: string, fields: RowFields): boolean => {
      const row = waitingRow.safeParse(fields);
      if (!row.success) {
        return false;
      }
      const nowMs = clock.monotonicMs();
      const [, service, requests] = row.data;
      demandOf(service).peers.update(
        node,
        requests.map(([priority, isReturn, tokens, leftMs, waitLeftMs, account], index) => ({
          ...{ id: String(index), priority, isReturn, account, tokens },
          deadlineAtMs: nowMs + leftMs,
          waitUntilMs: nowMs + waitLeftMs,
        })),
      );
      options.onLess();
      return true;
    };

    const receiveNeeds = (node: string, fields: RowFields): boolean => {
      const row = needsRow.safeParse(fields);
      if (!row.success) {
        return false;
      }
      const [, service, needs] = row.data;
      demandOf(service).peers.updateNeeds(
        node,
        needs.map(([priority, tokens, tokensEach]) => ({ priority, tokens, tokensEach })),
      );
      return true;
    };

    const share = options.peers.openTopic({
      name: topic,
      // Rows of other kinds are of a later version.
      receive: (node, fields) =>
        fields[0] === 'waiting'
          ? receiveWaiting(node, fields)
          : fields[0] !== 'needs' || receiveNeeds(node, fields),
      snapshot: () =>
        [...services].flatMap(([service, { waitingRow: waiting, sharedNeeds }]) => [
          waiting,
          ...(sharedNeeds.length > 0 ? [toNeedsRow(service, sharedNeeds)] : []),
        ]),
      onNodeLost: (node) => {
        usedByNode.delete(node);
        for (const { peers } of services.values()) {
          peers.forget(node);
        }
        options.onLess();
      },
    });

    const shareWaiting = (service: string, demand: ServiceDemand): void => {
      const nowMs = clock.monotonicMs();
      const rows: RowFields[] = [];
      for (const { request, waitUntilMs } of options.waitingHere(service)) {
        if (rows.length < maxSharedRequests) {
          const leftMs = Math.max(0, Math.round(request.deadlineAtMs - nowMs));
          const waitLeftMs = Math.max(0, Math.round(waitUntilMs - nowMs));
          rows.push([
            ...[request.priority, request.isReturn, Math.round(request.tokens), leftMs],
            ...[waitLeftMs, request.account],
          ]);
        }
      }
      const hadRequests = (demand.waitingRow[2] as readonly unknown[]).length > 0;
      if (rows.length === 0 && !hadRequests) {
        return;
      }
      demand.waitingRow = ['waiting', service, rows];
      demand.waitingSharedAtMs = nowMs;
      share(demand.waitingRow);
    };

    const shareNeeds = (): void => {
      const nowMs = clock.monotonicMs();
      const intervalMs = Math.max(minNeedsIntervalMs, needsIntervalMsPerNode * options.nodeCount());
      for (const [service, demand] of services) {
        const needs = demand.arrivals.needs(nowMs);
        demand.peers.updateNeeds(self, needs);
        if (
          nowMs - demand.needsSharedAtMs >= intervalMs &&
          haveChanged(demand.sharedNeeds, needs)
        ) {
          demand.needsSharedAtMs = nowMs;
          demand.sharedNeeds = needs;
          share(toNeedsRow(service, needs));
        }
      }
    };
    const stopNeeds = clock.every(checkNeedsIntervalMs, shareNeeds);

    return {
      onWaitingChanged: (service) => {
        const demand = demandOf(service);
        if (demand.isScheduled) {
          return;
        }
        demand.isScheduled = true;
        const intervalMs = Math.max(
          minWaitingIntervalMs,
          waitingIntervalMsPerNode * options.nodeCount(),
        );
        const dueInMs = demand.waitingSharedAtMs + intervalMs - clock.monotonicMs();
        clock.after(Math.max(shareDelayMs, dueInMs), () => {
          demand.isScheduled = false;
          shareWaiting(service, demand);
        });
      },
      recordArrival: (service, { priority, tokens }, maxWaitMs) => {
        demandOf(service).arrivals.record(priority, tokens, maxWaitMs, clock.monotonicMs());
      },
      tokensAhead: (service, request, tokensOf) =>
        options.peers.isSharedByAll(topic)
          ? demandOf(service).peers.tokensAhead(request, tokensOf, clock.monotonicMs())
          : 0,
      urgentRoom: (service, priority) =>
        options.peers.isSharedByAll(topic) ? demandOf(service).peers.urgentRoom(priority) : noRoom,
      onPeerUse: (node, uses) => {
        const used = new Map<string, number>();
        for (const { upstream, memoryTokens, copyTokens } of uses) {
          const service = options.serviceOf(upstream);
          if (service !== undefined) {
            used.set(service, (used.get(service) ?? 0) + memoryTokens - copyTokens);
          }
        }
        const before = usedByNode.get(node);
        usedByNode.set(node, used);
        for (const [service, tokens] of used) {
          const grown = tokens - (before?.get(service) ?? 0);
          if (grown > 0 && before !== undefined) {
            services.get(service)?.peers.recordStarts(node, grown);
          }
        }
      },
      stop: stopNeeds,
    };
  },
};
