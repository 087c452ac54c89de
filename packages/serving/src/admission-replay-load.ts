import { Random } from '@zinniagrade/clock';
import { AccountUse } from './account-use.js';
import { Fleet, type FleetMember } from './fleet.js';
import { FreedMemory, rateBeside } from './freed-memory.js';
import { PeerDemand } from './peer-demand.js';
import type { GenerationNeed } from './placement.js';
import { RetryAfterSchedule } from './retry-after-schedule.js';
import { ReturnPromises } from './return-promises.js';
import { UrgentArrivals } from './urgent-arrivals.js';
import { WaitingQueue } from './waiting-queue.js';

export const engineTokens = 26_900;
export const engineCount = 33;
export const nodeCount = 70;
export const loadMs = 16_000;

export interface Kind {
  readonly priority: number;
  readonly need: GenerationNeed;
  readonly runMs: number;
  readonly maxWaitMs: number;
  readonly deadlineMs: number;
}

export const long: Kind = {
  priority: 5,
  need: { promptTokens: 3079, outputTokens: 744 },
  runMs: 10_000,
  maxWaitMs: 1500,
  deadlineMs: 39_000,
};
export const short: Kind = {
  priority: 0,
  need: { promptTokens: 2550, outputTokens: 8 },
  runMs: 700,
  maxWaitMs: 750,
  deadlineMs: 6000,
};

export interface Arrival {
  readonly kind: Kind;
  readonly atMs: number;
  readonly node: number;
  readonly account: string;
  /** The request that was refused before this one. */
  readonly first?: Arrival;
}

/** What a replay does beside the order at each node. */
export interface Rules {
  /** Nodes share what waits for engines. */
  readonly shares: boolean;
  /** Requests are refused at once, and come back by the memory that all nodes free. */
  readonly refusesEarly: boolean;
  /** Nodes share what client accounts have in flight. */
  readonly sharesAccounts: boolean;
}

/** What one node of a replay knows. */
export interface ReplayNode {
  readonly members: readonly FleetMember[];
  readonly used: Map<string, number>;
  readonly queue: WaitingQueue;
  readonly waitUntil: Map<string, number>;
  readonly accounts: AccountUse;
  accountsSharedAtMs: number;
  readonly freed: FreedMemory;
  readonly promises: ReturnPromises;
  readonly schedule: RetryAfterSchedule;
  readonly peers: PeerDemand;
  readonly arrivals: UrgentArrivals;
  sharedAtMs: number;
}

export const createNode = (random: () => number): ReplayNode => {
  const fleet = Fleet.create();
  for (let index = 0; index < engineCount; index += 1) {
    const id = String(index);
    fleet.register(
      {
        ...{ id, service: 'text', address: `127.0.0.1:${id}`, dataCentre: 'a', version: 'v1' },
        ...{ slots: 24, state: 'ready', coldLeftMs: 0 },
      },
      0,
    );
  }
  const accounts = AccountUse.create();
  return {
    accounts,
    accountsSharedAtMs: 0,
    members: fleet.ofService('text'),
    used: new Map(),
    queue: WaitingQueue.create(256, accounts.tokensOf),
    waitUntil: new Map(),
    freed: FreedMemory.create(),
    promises: ReturnPromises.create(random),
    schedule: RetryAfterSchedule.create(),
    peers: PeerDemand.create(),
    arrivals: UrgentArrivals.create(),
    sharedAtMs: -Infinity,
  };
};

export const rateOf = (node: ReplayNode, priority: number, nowMs: number): number =>
  rateBeside(node.freed.tokensPerMs(nowMs), node.peers.urgentRoom(priority).tokensPerMs);

/** Arrivals with random gaps at random nodes. */
export const arrivalsOf = (
  kind: Kind,
  perSecond: number,
  seed: number,
  account = '',
): readonly Arrival[] => {
  const random = Random.create(seed);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1000) / perSecond;
    if (atMs > loadMs) {
      return arrivals;
    }
    arrivals.push({ kind, atMs, node: Math.floor(random() * nodeCount), account });
  }
};
