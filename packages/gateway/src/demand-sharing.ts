import type { Clock, Random } from '@zinniagrade/clock';
import {
  haveNeedsChanged,
  rateBeside,
  RunningMemory,
  type RefusedRequest,
  type TokensOfAccount,
  type UpstreamUse,
  type UrgentRoom,
  type WaitingRequest,
} from '@zinniagrade/serving';
import { ServiceDemand } from './service-demand.js';
import {
  needsRow,
  promisedRow,
  toNeedsRow,
  toPromisedRow,
  toWaitingRow,
  waitingRow,
  type WaitingHere,
} from './demand-rows.js';
import type { NodePeers } from './node-peers.js';
import type { RowFields } from './peer-topics.js';

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
  /** Whether requests wait for a service at other nodes. */
  readonly isWaitedFor: (service: string) => boolean;
  readonly urgentRoom: (service: string, priority: number) => UrgentRoom;
  /** Records memory that a generation of this node has freed. */
  readonly recordFreed: (service: string, tokens: number) => void;
  /** Time in which generations of all nodes free this memory; undefined if that isn't known. */
  readonly expectedWaitMs: (
    service: string,
    priority: number,
    tokens: number,
  ) => number | undefined;
  /** Time after which a refused request is to come back; undefined if none can be promised. */
  readonly promiseReturn: (service: string, request: RefusedRequest) => number | undefined;
  /** To be called with the use of upstreams that another node announces. */
  readonly onPeerUse: (node: string, uses: readonly UpstreamUse[]) => void;
  readonly stop: () => void;
}

const topic = 'demand';
/** Requests wait for 0.75 s and longer; all nodes should know of them for most of that time. */
const minWaitingIntervalMs = 500;
/** Bounds the rows of each kind that a node receives to 125 a second, about 6 KB. */
const waitingIntervalMsPerNode = 8;
/** What urgent requests need is measured over 10 s. */
const minNeedsIntervalMs = 5000;
const needsIntervalMsPerNode = 20;
/** Time in which an update reaches all nodes. */
const maxDelayMs = 250;
/** Lets requests that start at once start without a row. */
const shareDelayMs = 10;
const checkNeedsIntervalMs = 1000;
/** Under this name the needs of this node are added to those of the others. */
const self = '';
const noRoom: UrgentRoom = { tokens: 0, tokensEach: 0, tokensPerMs: 0 };

export const DemandSharing = {
  create: (clock: Clock, random: Random, options: DemandOptions): DemandSharing => {
    const services = new Map<string, ServiceDemand>();
    const running = RunningMemory.create(options.serviceOf);

    const demandOf = (service: string): ServiceDemand => {
      const known = services.get(service);
      if (known !== undefined) {
        return known;
      }
      const created = ServiceDemand.create(random);
      services.set(service, created);
      return created;
    };

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
        needs.map(([priority, tokens, tokensEach, tokensPerMs]) => ({
          priority,
          tokens,
          tokensEach,
          tokensPerMs,
        })),
      );
      return true;
    };

    const receivePromised = (node: string, fields: RowFields): boolean => {
      const row = promisedRow.safeParse(fields);
      if (!row.success) {
        return false;
      }
      const [, service, promised] = row.data;
      demandOf(service).promises.update(
        node,
        promised.map(([priority, tokens, withinMs]) => ({ priority, tokens, withinMs })),
        clock.monotonicMs(),
      );
      return true;
    };

    const receivers = new Map<unknown, (node: string, fields: RowFields) => boolean>([
      ['waiting', receiveWaiting],
      ['needs', receiveNeeds],
      ['promised', receivePromised],
    ]);

    const share = options.peers.openTopic({
      name: topic,
      // Rows of other kinds are of a later version.
      receive: (node, fields) => receivers.get(fields[0])?.(node, fields) ?? true,
      snapshot: () => {
        const rows: RowFields[] = [];
        for (const [service, { sharedWaiting, sharedPromises, sharedNeeds }] of services) {
          rows.push(...[sharedWaiting, sharedPromises].filter((row) => row !== undefined));
          if (sharedNeeds.length > 0) {
            rows.push(toNeedsRow(service, sharedNeeds));
          }
        }
        return rows;
      },
      onNodeLost: (node) => {
        running.forget(node);
        for (const { peers } of services.values()) {
          peers.forget(node);
        }
        options.onLess();
      },
    });

    const shareWaiting = (service: string, demand: ServiceDemand): void => {
      const nowMs = clock.monotonicMs();
      const waiting = [...options.waitingHere(service)];
      if (waiting.length > 0 || demand.sharedWaiting !== undefined) {
        const row = toWaitingRow(service, waiting, nowMs);
        demand.sharedWaiting = waiting.length > 0 ? row : undefined;
        demand.sharedAtMs = nowMs;
        share(row);
      }
    };

    const sharePromises = (service: string, demand: ServiceDemand): void => {
      const nowMs = clock.monotonicMs();
      const promised = demand.promises.own(nowMs);
      if (promised.length > 0 || demand.sharedPromises !== undefined) {
        const row = toPromisedRow(service, promised);
        demand.sharedPromises = promised.length > 0 ? row : undefined;
        demand.sharedAtMs = nowMs;
        share(row);
      }
    };

    const shareNeeds = (): void => {
      const nowMs = clock.monotonicMs();
      const intervalMs = Math.max(minNeedsIntervalMs, needsIntervalMsPerNode * options.nodeCount());
      for (const [service, demand] of services) {
        const needs = demand.arrivals.needs(nowMs);
        demand.peers.updateNeeds(self, needs);
        if (
          nowMs - demand.needsSharedAtMs >= intervalMs &&
          haveNeedsChanged(demand.sharedNeeds, needs)
        ) {
          demand.needsSharedAtMs = nowMs;
          demand.sharedNeeds = needs;
          share(toNeedsRow(service, needs));
        }
      }
    };
    const stopNeeds = clock.every(checkNeedsIntervalMs, shareNeeds);

    const urgentRoom: DemandSharing['urgentRoom'] = (service, priority) =>
      options.peers.isSharedByAll(topic) ? demandOf(service).peers.urgentRoom(priority) : noRoom;

    const rateFor = (service: string, priority: number): number =>
      rateBeside(
        demandOf(service).freed.tokensPerMs(clock.monotonicMs()),
        urgentRoom(service, priority).tokensPerMs,
      );

    const shareIntervalMs = (): number =>
      Math.max(minWaitingIntervalMs, waitingIntervalMsPerNode * options.nodeCount());

    const scheduleShare = (service: string): void => {
      const demand = demandOf(service);
      if (demand.isScheduled) {
        return;
      }
      demand.isScheduled = true;
      const dueInMs = demand.sharedAtMs + shareIntervalMs() - clock.monotonicMs();
      clock.after(Math.max(shareDelayMs, dueInMs), () => {
        demand.isScheduled = false;
        shareWaiting(service, demand);
        sharePromises(service, demand);
      });
    };

    return {
      onWaitingChanged: scheduleShare,
      recordArrival: (service, { priority, tokens }, maxWaitMs) => {
        demandOf(service).arrivals.record(priority, tokens, maxWaitMs, clock.monotonicMs());
      },
      tokensAhead: (service, request, tokensOf) =>
        options.peers.isSharedByAll(topic)
          ? demandOf(service).peers.tokensAhead(request, tokensOf, clock.monotonicMs())
          : 0,
      isWaitedFor: (service) => demandOf(service).peers.isWaiting(clock.monotonicMs()),
      urgentRoom,
      recordFreed: (service, tokens) => {
        demandOf(service).freed.record(tokens, clock.monotonicMs());
      },
      expectedWaitMs: (service, priority, tokens) => {
        const tokensPerMs = rateFor(service, priority);
        return tokensPerMs === 0 ? undefined : tokens / tokensPerMs;
      },
      promiseReturn: (service, request) => {
        const nowMs = clock.monotonicMs();
        const { promises } = demandOf(service);
        const tokensPerMs = rateFor(service, request.priority);
        if (tokensPerMs === 0 || !options.peers.isSharedByAll(topic)) {
          return undefined;
        }
        const unknownMs = options.nodeCount() === 1 ? 0 : shareIntervalMs() + maxDelayMs;
        scheduleShare(service);
        return promises.promise(request, { tokensPerMs, unknownMs }, nowMs);
      },
      onPeerUse: (node, uses) => {
        for (const [service, change] of running.update(node, uses)) {
          if (change > 0) {
            services.get(service)?.peers.recordStarts(node, change);
          } else if (change < 0) {
            demandOf(service).freed.record(-change, clock.monotonicMs());
          }
        }
      },
      stop: stopNeeds,
    };
  },
};
