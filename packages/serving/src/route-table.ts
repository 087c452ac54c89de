import type { ClientAccount, Configuration, Route } from './configuration.js';

/** Finds the route and the client account of a request. Built once per configuration. */
export interface RouteTable {
  readonly version: number;
  /** The route of the host with the longest path prefix that matches. */
  readonly find: (host: string, path: string) => Route | undefined;
  readonly byName: ReadonlyMap<string, Route>;
  /** The client account of an API key. */
  readonly accountOf: (key: string) => ClientAccount | undefined;
  readonly needsKey: boolean;
  /**
   * Priority to state to an engine of the service; undefined if all requests of the service have the
   * same one, or if urgent ones may take longer than others.
   */
  readonly enginePriority: (
    service: string,
    route: Route,
    account: ClientAccount | undefined,
  ) => number | undefined;
}

/** Engines take priorities up to this one. */
const leastUrgentPriority = 9;

/** Priority of a request, 0 first: that of the client account, else that of the route. */
export const requestPriority = (route: Route, account: ClientAccount | undefined): number =>
  account?.priority ?? route.priority;

/**
 * Services on which a more urgent route allows more time than a less urgent one. If their engines took
 * the urgent requests first, those that are due sooner would be late.
 */
const servicesWithLongUrgentRoutes = (routes: readonly Route[]): ReadonlySet<string> => {
  const services = new Set<string>();
  /** The longest time that routes of each service allow, of those that are more urgent or as urgent. */
  const longestMs = new Map<string, { readonly priority: number; readonly timeoutMs: number }[]>();
  for (const route of [...routes].sort((a, b) => a.priority - b.priority)) {
    for (const { service } of route.targets) {
      const known = longestMs.get(service) ?? [];
      longestMs.set(service, known);
      const moreUrgent = known.findLast(({ priority }) => priority < route.priority);
      if (moreUrgent !== undefined && moreUrgent.timeoutMs > route.timeoutMs) {
        services.add(service);
      }
      const timeoutMs = Math.max(route.timeoutMs, known.at(-1)?.timeoutMs ?? 0);
      if (known.at(-1)?.priority === route.priority) {
        known.pop();
      }
      known.push({ priority: route.priority, timeoutMs });
    }
  }
  return services;
};

/** Services whose requests differ in priority, and for which engines may go by it. */
const servicesWithPriorities = ({ routes, clientAccounts }: Configuration): ReadonlySet<string> => {
  const prioritiesByService = new Map<string, Set<number>>();
  for (const route of routes) {
    const callers: (ClientAccount | undefined)[] = [...clientAccounts];
    if (route.anonymous || clientAccounts.length === 0) {
      callers.push(undefined);
    }
    for (const { service } of route.targets) {
      const priorities = prioritiesByService.get(service) ?? new Set();
      prioritiesByService.set(service, priorities);
      for (const account of callers) {
        priorities.add(requestPriority(route, account));
      }
    }
  }
  const excluded = servicesWithLongUrgentRoutes(routes);
  const services = new Set<string>();
  for (const [service, priorities] of prioritiesByService) {
    if (priorities.size > 1 && !excluded.has(service)) {
      services.add(service);
    }
  }
  return services;
};

const longestFirst = (a: Route, b: Route): number => b.pathPrefix.length - a.pathPrefix.length;

const routesByHost = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const routesOfHost = byHost.get(host) ?? [];
    routesOfHost.push(route);
    byHost.set(host, routesOfHost);
  }
  for (const routesOfHost of byHost.values()) {
    routesOfHost.sort(longestFirst);
  }
  return byHost;
};

/** Normalizes a host name for comparison: without port, in lower case. */
const hostName = (host: string): string => host.replace(/:\d*$/, '').toLowerCase();

const pathOf = (url: string): string => {
  const query = url.indexOf('?');
  return query === -1 ? url : url.slice(0, query);
};

export const RouteTable = {
  create: (configuration: Configuration): RouteTable => {
    const byHost = routesByHost(configuration.routes);
    const byKey = new Map<string, ClientAccount>();
    const withPriorities = servicesWithPriorities(configuration);
    for (const account of configuration.clientAccounts) {
      for (const key of account.keys) {
        byKey.set(key, account);
      }
    }
    return {
      version: configuration.version,
      find: (host, url) => {
        const path = pathOf(url);
        for (const route of byHost.get(hostName(host)) ?? []) {
          if (path.startsWith(route.pathPrefix)) {
            return route;
          }
        }
        return undefined;
      },
      byName: new Map(configuration.routes.map((route) => [route.name, route])),
      accountOf: (key) => byKey.get(key),
      needsKey: configuration.clientAccounts.length > 0,
      enginePriority: (service, route, account) =>
        withPriorities.has(service)
          ? Math.min(leastUrgentPriority, Math.max(0, Math.round(requestPriority(route, account))))
          : undefined,
    };
  },
};
