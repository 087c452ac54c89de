import { randomBytes } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import { Random, type Clock } from '@zinniagrade/clock';
import { isBelowColdLimit, type FleetMember, type Route } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import type { ReadCallerRequest } from './caller-request.js';
import { chooseAddresses, createDirectoryServer } from './directory.js';
import { Front } from './front.js';
import { LoadPolling } from './load-polling.js';
import type { Log } from './log.js';
import type { MetadataStore } from './metadata-store.js';
import { createMetricsServer, Metrics } from './metrics.js';
import { NodePeers } from './node-peers.js';
import { OpenStream } from './open-stream.js';
import { Registration } from './registration.js';
import { Rollouts } from './rollouts.js';
import { serveCall } from './serve-call.js';
import { ServiceRecords } from './service-records.js';
import type { GatewaySettings } from './settings.js';
import { StoreMirror } from './store-mirror.js';
import { StreamMoves } from './stream-moves.js';
import type { UpstreamClient } from './upstream-client.js';
import { View, type Change, type NodeEntry, type RolloutStatus } from './view.js';

/** What the gateway needs of the platform that it runs on. */
export interface Platform {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly upstreams: UpstreamClient;
  readonly readCallerRequest: ReadCallerRequest;
  /** The meaning of a key's value; without a value the key was removed. */
  readonly readChange: (key: string, value: Buffer | undefined) => Change;
  /** Prefix of all keys of the store that a node must know. */
  readonly prefix: string;
  /** Key of the secret by which nodes know each other. */
  readonly linkSecretKey: string;
  readonly returnsAfterOutage: (key: string) => boolean;
  readonly nodeKey: (node: string) => string;
  readonly writeNode: (entry: NodeEntry) => Buffer;
  readonly rolloutStatusKey: (service: string) => string;
  readonly writeRolloutStatus: (status: RolloutStatus) => Buffer;
  /** Writes the addresses of nodes in the form that callers read. */
  readonly writeDirectory: (addresses: readonly string[], lifeMs: number) => Buffer;
}

/** A running gateway process. */
export interface Gateway {
  /** Takes over changed settings; addresses count from the next start. */
  readonly reload: (settings: GatewaySettings) => void;
  /** Serves what is open and what can still end in time, then resolves. */
  readonly leave: () => Promise<void>;
}

const addressPattern = /^(.*):(\d+)$/;

const listen = (server: Server, address: string): Promise<void> =>
  new Promise((resolve, reject) => {
    const [, host, port] = addressPattern.exec(address) ?? [];
    server.once('error', reject);
    server.listen({ host, port: Number(port), backlog: 1024 }, () => {
      server.off('error', reject);
      resolve();
    });
  });

const idleCheckMs = 50;
/** A node that leaves is done this long before it is killed. */
const lastMomentMs = 400;
/** A plain request ends within this time of a leaving node, or is refused. */
const shortRequestMs = 1000;
const sweepIntervalMs = 1000;
/** Time from the first state to open links with all nodes. */
const linksSettleMs = 2500;
/** Part of the connections that upstreams accept; nodes that just died may still hold theirs. */
const usedConnectionShare = 0.8;
/** A few streams with a copy each, and a load report. */
const minConnections = 8;
/** Nodes start together; one of them writes the secret and the others read it. */
const secretSpreadMs = 300;
const secretBytes = 16;

export const Gateway = {
  create: async (platform: Platform, clock: Clock, log: Log): Promise<Gateway> => {
    const { store } = platform;
    let { settings } = platform;
    const metrics = Metrics.create();
    const view = View.create(log);
    const random = Random.create(randomBytes(4).readInt32LE());
    const records = ServiceRecords.create(settings.retries);
    let leavingSinceMs: number | undefined;
    let completeAtMs: number | undefined;

    const leavesInMs = (): number | undefined =>
      leavingSinceMs === undefined
        ? undefined
        : Math.max(0, leavingSinceMs + settings.graceMs - lastMomentMs - clock.monotonicMs());

    const peers: NodePeers = NodePeers.create(clock, log, view, {
      place: {
        node: settings.node,
        dataCentre: settings.dataCentre,
        capacity: settings.capacity,
      },
      address: settings.listen.nodes,
      mirror: () => mirror,
      onLoad: (upstream, load, readAtMs) => {
        polling.take(upstream, load, readAtMs);
      },
      onReport: (node, service, report) => {
        rollouts.takeReport(node, service, report);
      },
    });

    const mirror: StoreMirror = StoreMirror.create(store, clock, log, {
      prefix: platform.prefix,
      returnsAfterOutage: platform.returnsAfterOutage,
      registrationReturnMs: settings.registrationReturnMs,
      onChange: (key, value, revision) => {
        view.apply(platform.readChange(key, value), revision, clock.monotonicMs());
      },
      whileLost: peers.pull,
      followsStore: peers.followsStore,
      onNew: peers.pushChanges,
    });

    const bearsColdStart = (member: FleetMember): boolean =>
      isBelowColdLimit(
        member,
        {
          perSecond:
            view.configuration()?.services.get(member.upstream.service)?.coldPerSecond ?? 0,
          excess: settings.coldExcess,
          slack: settings.coldSlack,
        },
        Math.max(1, view.nodes.size),
        clock.monotonicMs(),
      );

    const rollouts: Rollouts = Rollouts.create(clock, random, log, view, {
      node: settings.node,
      alive: peers.alive,
      peerUse: peers.peerUse,
      share: peers.shareReport,
      writeStatus: (status, revision) => {
        const key = platform.rolloutStatusKey(status.service);
        return store.commit({
          expected: new Map([[key, revision]]),
          writes: [{ key, value: platform.writeRolloutStatus(status) }],
          removals: [],
        });
      },
      onSuperseded: () => {
        moves.check();
      },
    });

    const context: ServingContext = {
      dataCentre: settings.dataCentre,
      clock,
      random,
      log,
      metrics,
      view,
      client: platform.upstreams,
      recordOf: records.of,
      nodeCount: () => Math.max(1, view.nodes.size),
      allows: bearsColdStart,
      rollouts,
      peerUse: peers.peerUse,
      useChanged: peers.useChanged,
      turnMs: peers.turnMs,
      leavesInMs,
    };

    const moves: StreamMoves = StreamMoves.create(context);
    const polling: LoadPolling = LoadPolling.create(context, {
      reads: peers.readsLoadOf,
      share: peers.shareLoad,
      onLoad: (member) => {
        if (member.leaving) {
          moves.check();
        }
      },
    });
    const expectedMs = (route: Route): number =>
      route.kind === 'streaming' ? Math.max(shortRequestMs, route.timeoutMs / 2) : shortRequestMs;
    const front = Front.create(context, {
      read: platform.readCallerRequest,
      memoryBytes: settings.memoryBytes,
      expectedMs,
      serveCall: (call) => {
        serveCall(context, call);
      },
      serveStream: (call, engine) => {
        const stream = OpenStream.create(context, call, engine);
        moves.add(stream);
        call.onOver(() => {
          moves.remove(stream);
        });
      },
    });

    view.fleet.onLeave(({ upstream }) => {
      const staying = view.fleet.ofService(upstream.service).filter((member) => !member.leaving);
      const { departures } = records.of(upstream.service);
      departures.recordDeparture(clock.monotonicMs(), staying.length + 1);
    });
    view.onChange((change) => {
      switch (change.kind) {
        case 'configuration':
          front.configure(change.configuration);
          return;
        case 'upstream':
          moves.check();
          return;
        case 'link-secret':
          peers.open(change.secret);
      }
    });

    const ownEntry = (): NodeEntry => ({
      node: settings.node,
      dataCentre: settings.dataCentre,
      callerAddress: settings.listen.caller,
      nodeAddress: settings.listen.nodes,
      capacity: settings.capacity,
      leaving: leavingSinceMs !== undefined,
    });
    const registration = Registration.create(
      store,
      clock,
      log,
      platform.nodeKey(settings.node),
      platform.writeNode(ownEntry()),
      settings.nodeLeaseMs,
    );

    const isReady = (): boolean =>
      leavingSinceMs === undefined && view.configuration() !== undefined && mirror.isComplete();

    /** Only the first writer's secret counts; the others learn it from the store. */
    const writeSecret = (): void => {
      if (mirror.isComplete() && view.linkSecret() === undefined) {
        void store.commit({
          expected: new Map([[platform.linkSecretKey, 0]]),
          writes: [{ key: platform.linkSecretKey, value: randomBytes(secretBytes) }],
          removals: [],
        });
      }
    };

    /** Upstreams count the connections of all nodes together. */
    const limitConnections = (): void => {
      for (const { name, maxConnections } of view.configuration()?.services.values() ?? []) {
        const share = (usedConnectionShare * maxConnections) / context.nodeCount();
        platform.upstreams.limitConnections(name, Math.max(minConnections, Math.floor(share)));
      }
    };

    const tick = (): void => {
      if (mirror.isComplete()) {
        completeAtMs ??= clock.monotonicMs();
      }
      writeSecret();
      limitConnections();
      view.fleet.sweep();
      const addresses = new Set<string>();
      for (const member of view.fleet.members.values()) {
        addresses.add(member.upstream.address);
      }
      platform.upstreams.retain(addresses);
    };
    clock.after(secretSpreadMs * random(), tick);
    const stopTicks = clock.every(sweepIntervalMs, tick);

    const readyServer = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
    });
    const addresses = (): readonly string[] =>
      chooseAddresses({
        node: settings.node,
        ownAddress: settings.listen.caller,
        ready: isReady(),
        nodes: view.nodes.values(),
        connected: peers.alive(),
        linksSettled:
          completeAtMs !== undefined && clock.monotonicMs() - completeAtMs > linksSettleMs,
      });
    const directoryServer = createDirectoryServer(log, addresses, (found) =>
      platform.writeDirectory(found, settings.directoryLifeMs),
    );

    const servers: Server[] = [front.server, readyServer, directoryServer];
    await listen(front.server, settings.listen.caller);
    await listen(readyServer, settings.listen.ready);
    await listen(directoryServer, settings.listen.directory);
    if (settings.listen.metrics !== undefined) {
      const metricsServer = createMetricsServer(metrics);
      await listen(metricsServer, settings.listen.metrics);
      servers.push(metricsServer);
    }
    log.event('started', { ...settings.listen, dataCentre: settings.dataCentre });

    const whenIdle = (): Promise<void> =>
      new Promise((resolve) => {
        const cancel = clock.every(idleCheckMs, () => {
          if (front.openRequests() === 0 || leavesInMs() === 0) {
            cancel();
            resolve();
          }
        });
      });

    return {
      reload: (next) => {
        settings = next;
        records.rebound(next.retries);
        log.event('reloaded', { graceMs: next.graceMs, retryRatio: next.retries.ratio });
      },
      leave: async () => {
        leavingSinceMs ??= clock.monotonicMs();
        log.event('leaving', { open: front.openRequests(), graceMs: settings.graceMs });
        registration.update(platform.writeNode(ownEntry()));
        await new Promise<void>((resolve) => {
          clock.after(settings.graceMs / 2, resolve);
        });
        await whenIdle();
        log.event('stopped', { open: front.openRequests() });
        stopTicks();
        polling.stop();
        rollouts.stop();
        peers.close();
        mirror.stop();
        await registration.end();
        for (const server of servers) {
          server.close();
          server.closeAllConnections();
        }
        platform.upstreams.close();
        store.close();
        log.close();
      },
    };
  },
};
