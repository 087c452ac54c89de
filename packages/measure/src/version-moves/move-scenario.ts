import type { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';

/** `bad-*` versions fail or are slow: from the start, later, only under load, or only on one route. */
export type VersionKind =
  'good' | 'bad-at-once' | 'bad-later' | 'bad-under-load' | 'bad-on-one-route';

export const badVersionKinds: readonly VersionKind[] = [
  'bad-at-once',
  'bad-later',
  'bad-under-load',
  'bad-on-one-route',
];

export interface MoveFaults {
  readonly coordinatorKilled?: boolean;
  readonly storeOutage?: boolean;
  readonly linkCut?: boolean;
}

export interface MoveScenario {
  readonly kind: VersionKind;
  readonly policy: 'naive' | 'current';
  readonly faults: MoveFaults;
  readonly nodes: number;
  readonly requestsPerSecond: number;
  readonly moveMs: Milliseconds;
  readonly routes: readonly Route[];
  readonly fault: VersionFault;
}

export interface Route {
  readonly name: string;
  /** Share of the service's requests. */
  readonly requestShare: number;
  readonly firstTokenMs: Milliseconds;
  /** Undefined on a route of plain calls. */
  readonly betweenTokensMs: Milliseconds | undefined;
}

/** Behaviour of the new version once its fault is active; a good version has a `slowdown` near 1. */
export interface VersionFault {
  readonly failedShare: number;
  readonly slowdown: number;
  /** Time from the start of the move. */
  readonly beginsAtMs: Milliseconds;
  /**
   * Share of the service's requests above which the version counts as under load; 0 if the fault
   * does not depend on load.
   */
  readonly loadLimit: number;
  readonly route: string | undefined;
}

export interface Deployment {
  readonly nodes: number;
  readonly requestsPerSecond: number;
  readonly moveMs: Milliseconds;
}

/** Number of entry nodes, request rate of one service, and duration of a move, for each deployment. */
export const deployments = {
  returns: { nodes: 8, requestsPerSecond: 60, moveMs: 300_000 },
  maps: { nodes: 7, requestsPerSecond: 30, moveMs: 400_000 },
} as const satisfies Record<string, Deployment>;

const drawBetween = (random: Random, low: number, high: number): number =>
  low + (high - low) * random();

const routesOf = (random: Random): readonly Route[] => {
  const isGeneration = random() < 0.6;
  const rareShare = drawBetween(random, 0.1, 0.2);
  const requestShares = [0.5, 0.5 - rareShare, rareShare];
  return requestShares.map((requestShare, index) => ({
    name: `route-${index}`,
    requestShare,
    firstTokenMs: drawBetween(random, 60, 900),
    betweenTokensMs: isGeneration ? drawBetween(random, 20, 50) : undefined,
  }));
};

/** Bad versions fail in at least 25% of their answers, or are at least 3 times slower. */
const faultOf = (
  kind: VersionKind,
  routes: readonly Route[],
  moveMs: Milliseconds,
  random: Random,
): VersionFault => {
  const fails = random() < 0.5;
  const noFault = { failedShare: 0, beginsAtMs: 0, loadLimit: 0, route: undefined };
  if (kind === 'good') {
    return { ...noFault, slowdown: drawBetween(random, 0.9, 1.1) };
  }
  const fault = {
    ...noFault,
    failedShare: fails ? drawBetween(random, 0.25, 0.8) : 0,
    slowdown: fails ? 1 : drawBetween(random, 3, 6),
  };
  switch (kind) {
    case 'bad-later':
      return { ...fault, beginsAtMs: moveMs * drawBetween(random, 0.05, 0.85) };
    case 'bad-under-load':
      return { ...fault, loadLimit: drawBetween(random, 0.08, 0.7) };
    case 'bad-on-one-route':
      return { ...fault, route: routes[Math.floor(random() * routes.length)]?.name };
    case 'bad-at-once':
      return fault;
  }
};

export const MoveScenario = {
  create: (
    kind: VersionKind,
    policy: 'naive' | 'current',
    deployment: Deployment,
    faults: MoveFaults,
    random: Random,
  ): MoveScenario => {
    const routes = routesOf(random);
    return {
      kind,
      policy,
      faults,
      ...deployment,
      routes,
      fault: faultOf(kind, routes, deployment.moveMs, random),
    };
  },
};
