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
}

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
    };
  },
};
