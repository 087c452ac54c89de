import type { Clock, Random } from '@zinniagrade/clock';
import {
  createReach,
  forgetTries,
  isSuspect,
  recordContact,
  recordDoubt,
  recordFailedTry,
  recordOpenedTry,
  recordTry,
  showsCutOff,
  type Fleet,
  type OpenRequest,
  type Reach,
  type Upstream,
} from '@zinniagrade/serving';
import type { Log } from './log.js';
import type { UpstreamObserver } from './observed-upstreams.js';

export interface ReachProbesOptions {
  /** Whether a new connection to the upstream opens. */
  readonly canConnect: (upstream: Upstream) => Promise<boolean>;
  /** Names of other nodes that reach the service, for the log. */
  readonly nodesReaching: (service: string) => readonly string[];
  /** Called when the services that this node is cut off from have changed. */
  readonly onChange: () => void;
}

/**
 * Finds out which services this node is cut off from. Connections are opened for this only while
 * the node's own exchanges raise a doubt, or to find the end of a cut.
 */
export interface ReachProbes {
  readonly observer: UpstreamObserver;
  readonly isCutOff: (service: string) => boolean;
  /** Services of which this node reaches no upstream. */
  readonly cutOff: () => readonly string[];
  readonly stop: () => void;
}

interface WatchedService {
  readonly reach: Reach;
  /** Times of the latest probes, by upstream. */
  readonly probedAtMs: Map<string, number>;
  /** Whether the other services are doubted too because of the tries since the last contact. */
  hasSpreadDoubt: boolean;
}

/** What has ended a cut. */
type CutEnd = 'bytes arrived' | 'connection opened' | 'no upstream is left';

const checkIntervalMs = 25;
/** Most doubts are unfounded, and these few connections show it before others are opened. */
const firstProbes = 2;
const maxProbes = 6;
/** Time between two connections to the same upstream. */
const minProbeIntervalMs = 250;
const cutOffProbeIntervalMs = 400;

export const ReachProbes = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    fleet: Fleet,
    options: ReachProbesOptions,
  ): ReachProbes => {
    const watched = new Map<string, WatchedService>();
    const now = clock.monotonicMs;

    const cutOff = (): readonly string[] => {
      const services: string[] = [];
      for (const [service, { reach }] of watched) {
        if (reach.isCutOff) {
          services.push(service);
        }
      }
      return services.sort();
    };

    const watch = (service: string): WatchedService => {
      const known = watched.get(service);
      if (known !== undefined) {
        return known;
      }
      const added = {
        reach: createReach(now()),
        probedAtMs: new Map<string, number>(),
        hasSpreadDoubt: false,
      };
      watched.set(service, added);
      return added;
    };

    const upstreamsByService = (): ReadonlyMap<string, readonly Upstream[]> => {
      const found = new Map<string, Upstream[]>();
      for (const { upstream, goneAtMs } of fleet.members.values()) {
        if (goneAtMs === undefined) {
          const others = found.get(upstream.service);
          if (others === undefined) {
            found.set(upstream.service, [upstream]);
          } else {
            others.push(upstream);
          }
        }
      }
      return found;
    };

    /** Logs and announces that a service is not cut off any more. */
    const endCut = (service: string, end: CutEnd, lastContactAtMs: number): void => {
      log.event('service in reach again', {
        service,
        reason: end,
        sinceContactMs: Math.round(now() - lastContactAtMs),
        nodesReaching: options.nodesReaching(service).join(),
      });
      options.onChange();
    };

    const onContact = (service: string): void => {
      const { reach } = watch(service);
      const { isCutOff, lastContactAtMs } = reach;
      recordContact(reach, now());
      if (isCutOff) {
        endCut(service, 'bytes arrived', lastContactAtMs);
      }
    };

    /** Without requests of its own, a service shows nothing of what cuts the node off from others. */
    const doubtAll = (): void => {
      for (const service of upstreamsByService().keys()) {
        recordDoubt(watch(service).reach);
      }
    };

    const judge = (service: string, reach: Reach, upstreams: readonly Upstream[]): void => {
      const ids = upstreams.map(({ id }) => id);
      if (reach.isCutOff || !showsCutOff(reach, ids)) {
        return;
      }
      reach.isCutOff = true;
      log.event('service out of reach', {
        service,
        tried: [...reach.tried].sort().join(),
        upstreams: ids.length,
        sinceContactMs: Math.round(now() - reach.lastContactAtMs),
        nodesReaching: options.nodesReaching(service).join(),
      });
      doubtAll();
      options.onChange();
    };

    const probe = async (service: string, upstream: Upstream): Promise<void> => {
      const { reach, probedAtMs } = watch(service);
      recordTry(reach, upstream.id);
      probedAtMs.set(upstream.id, now());
      if (!(await options.canConnect(upstream))) {
        recordFailedTry(reach, upstream.id);
        judge(service, reach, upstreamsByService().get(service) ?? []);
        return;
      }
      const { isCutOff, lastContactAtMs } = reach;
      recordOpenedTry(reach, upstream.id, now());
      if (isCutOff) {
        endCut(service, 'connection opened', lastContactAtMs);
      }
    };

    /** Takes one upstream of each data centre in turn, so that no loss of some of them counts as a cut. */
    const chooseSome = (upstreams: readonly Upstream[], count: number): readonly Upstream[] => {
      const remaining = [...upstreams];
      const chosenIn = new Map<string, number>();
      const ranked: { readonly upstream: Upstream; readonly rank: number }[] = [];
      while (remaining.length > 0) {
        for (const upstream of remaining.splice(Math.floor(random() * remaining.length), 1)) {
          const rank = chosenIn.get(upstream.dataCentre) ?? 0;
          chosenIn.set(upstream.dataCentre, rank + 1);
          ranked.push({ upstream, rank });
        }
      }
      ranked.sort((a, b) => a.rank - b.rank);
      return ranked.slice(0, count).map(({ upstream }) => upstream);
    };

    const probeSome = (service: string, upstreams: readonly Upstream[], count: number): void => {
      for (const upstream of chooseSome(upstreams, count)) {
        probe(service, upstream).catch((error: unknown) => {
          log.event('connection test failed', { upstream: upstream.id, reason: String(error) });
        });
      }
    };

    const check = (service: string, upstreams: readonly Upstream[]): void => {
      const state = watch(service);
      const { reach, probedAtMs } = state;
      judge(service, reach, upstreams);
      const sinceProbeMs = now() - Math.max(...probedAtMs.values());
      if (sinceProbeMs >= cutOffProbeIntervalMs) {
        probedAtMs.clear();
        if (reach.isCutOff) {
          probeSome(service, upstreams, 1);
        }
      }
      if (reach.isCutOff) {
        return;
      }
      if (reach.tried.size > 0 && !state.hasSpreadDoubt) {
        doubtAll();
      }
      state.hasSpreadDoubt = reach.tried.size > 0;
      if (reach.tried.size >= maxProbes && reach.failed.size === reach.tried.size) {
        // Some of those that were tried have gone, and the others don't suffice for a verdict.
        forgetTries(reach);
      }
      const candidates = upstreams.filter(
        ({ id }) =>
          !reach.tried.has(id) && now() - (probedAtMs.get(id) ?? -Infinity) >= minProbeIntervalMs,
      );
      const target = reach.tried.size === 0 ? firstProbes : maxProbes;
      probeSome(service, candidates, Math.max(0, target - reach.tried.size));
    };

    /** Upstreams that register during a cut are no more within reach than the others. */
    const doubtNewServices = (services: Iterable<string>): void => {
      for (const service of services) {
        if (!watched.has(service)) {
          recordDoubt(watch(service).reach);
        }
      }
    };

    const checkAll = (): void => {
      const due: string[] = [];
      for (const [service, { reach }] of watched) {
        if (reach.isCutOff || isSuspect(reach, now())) {
          due.push(service);
        }
      }
      if (due.length === 0) {
        return;
      }
      const services = upstreamsByService();
      if (cutOff().length > 0) {
        doubtNewServices(services.keys());
      }
      for (const service of due) {
        const upstreams = services.get(service);
        if (upstreams !== undefined) {
          check(service, upstreams);
          continue;
        }
        const { reach } = watch(service);
        watched.delete(service);
        if (reach.isCutOff) {
          endCut(service, 'no upstream is left', reach.lastContactAtMs);
        }
      }
    };
    const stopChecks = clock.every(checkIntervalMs, checkAll);

    return {
      observer: {
        onSend: (service) => {
          const { open } = watch(service).reach;
          const request: OpenRequest = { sentAtMs: now() };
          open.add(request);
          return () => {
            open.delete(request);
          };
        },
        onContact,
        onFailure: (service) => {
          recordDoubt(watch(service).reach);
        },
      },
      isCutOff: (service) => watched.get(service)?.reach.isCutOff === true,
      cutOff,
      stop: stopChecks,
    };
  },
};
