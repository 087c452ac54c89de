import { randomBytes } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import { Random, type Clock } from '@zinniagrade/clock';
import { isBelowColdLimit, type FleetMember, type Route } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import type { ReadCallerRequest } from './caller-request.js';
import { chooseAddresses, createDirectoryServer } from './directory.js';
import { CallerServer } from './caller-server.js';
import { LoadPolling } from './load-polling.js';
import type { Log } from './log.js';
import { MemoryLimits } from './memory-limits.js';
import type { MetadataStore } from './metadata-store.js';
import { createMetricsServer, Metrics } from './metrics.js';
import { NodePeers } from './node-peers.js';
import { PromptGuard } from './prompt-guard.js';
import { OpenStream } from './open-stream.js';
import { Registration } from './registration.js';
import { Rollouts } from './rollouts.js';
import { serveCall } from './serve-call.js';
import { ServiceRecords } from './service-records.js';
import type { GatewaySettings } from './settings.js';
import { StoreMirror } from './store-mirror.js';
import { EngineDrainer } from './engine-drainer.js';
import type { UpstreamClient } from './upstream-client.js';
import {
  ClusterState,
  type ClusterChange,
  type NodeEntry,
  type RolloutStatus,
} from './cluster-state.js';

/** Settings, clients and encodings that a platform provides to the gateway. */
export interface Platform {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly upstreams: UpstreamClient;
  readonly readCallerRequest: ReadCallerRequest;
  /** Decodes the value of a store key; an undefined value means that the key was removed. */
  readonly decodeChange: (key: string, value: Buffer | undefined) => ClusterChange;
  /** Prefix of all store keys that a node mirrors. */
  readonly prefix: string;
  /** Store key of the secret with which nodes authenticate each other. */
  readonly linkSecretKey: string;
  /**
   * Whether the entry of this key is registered again after a store outage, so its removal is
   * delayed.
   */
  readonly delaysRemovalAfterOutage: (key: string) => boolean;
  readonly nodeKey: (node: string) => string;
  readonly encodeNode: (entry: NodeEntry) => Buffer;
  /** Store key for a part of prompts that is kept away from engines. */
  readonly promptQuarantineKey: (part: string) => string;
  readonly rolloutStatusKey: (service: string) => string;
  readonly encodeRolloutStatus: (status: RolloutStatus) => Buffer;
  /** Encodes the addresses of nodes, and how long callers may cache them. */
  readonly encodeDirectory: (addresses: readonly string[], lifeMs: number) => Buffer;
}

/** A running gateway process. */
export interface Gateway {
  /** Applies changed settings; changed addresses take effect at the next start. */
  readonly reload: (settings: GatewaySettings) => void;
  /**
   * Serves open requests and those that can complete within the grace period, then closes
   * everything.
   */
  readonly shutDown: () => Promise<void>;
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

const idleCheckIntervalMs = 50;
/** A node completes its shutdown this long before it is killed. */
const shutdownMarginMs = 400;
/** Expected duration of a plain request; a node that ends earlier than this refuses it. */
const plainRequestDurationMs = 1000;
const sweepIntervalMs = 1000;
/** Time that links to all nodes need to open after the mirror is complete. */
const linksSettleMs = 2500;
/** Share of the connections that upstreams accept; nodes that just died may still hold the rest. */
const connectionLimitShare = 0.8;
/** Enough for a few streams with a copy each, and a load report. */
const minConnectionLimit = 8;
/**
 * Nodes may start together: a random delay up to this lets one write the secret and the others read
 * it.
 */
const maxSecretDelayMs = 300;
const linkSecretBytes = 16;

export const Gateway = {
  create: async (platform: Platform, clock: Clock, log: Log): Promise<Gateway> => {
    const { store } = platform;
    let { settings } = platform;
    const metrics = Metrics.create();
    const cluster = ClusterState.create(log);
    const random = Random.create(randomBytes(4).readInt32LE());
    const serviceRecords = ServiceRecords.create(settings.retries);
    let leavingSinceMs: number | undefined;
    let mirrorCompleteAtMs: number | undefined;

    const remainingDrainMs = (): number | undefined =>
      leavingSinceMs === undefined
        ? undefined
        : Math.max(0, leavingSinceMs + settings.graceMs - shutdownMarginMs - clock.monotonicMs());

    const peers: NodePeers = NodePeers.create(clock, log, cluster, {
      self: {
        node: settings.node,
        dataCentre: settings.dataCentre,
        capacity: settings.capacity,
      },
      address: settings.listen.nodes,
      mirror: () => mirror,
      onLoad: (upstream, load, readAtMs) => {
        loadPolling.receiveLoad(upstream, load, readAtMs);
      },
      onReport: (node, service, report) => {
        rollouts.receiveReport(node, service, report);
      },
      onFinding: (finding) => {
        prompts.receive(finding);
      },
      findings: () => prompts.findings(),
    });

    /** The lease removes the entry in time, also if no node of today is left by then. */
    const storeQuarantine = async (part: string, lifeMs: number): Promise<boolean> => {
      const lease = await store.grantLease(lifeMs);
      if (lease.isLeft()) {
        return false;
      }
      const key = platform.promptQuarantineKey(part);
      const { outcome } = await store.commit({
        expected: new Map([[key, 0]]),
        writes: [{ key, value: Buffer.from(part), lease: lease.unsafeCoerce() }],
        removals: [],
      });
      return outcome === 'done';
    };

    const prompts: PromptGuard = PromptGuard.create(clock, log, {
      share: peers.shareFinding,
      writesPart: peers.actsOn,
      store: storeQuarantine,
      unstore: async (part) => {
        const removals = [platform.promptQuarantineKey(part)];
        const { outcome } = await store.commit({ expected: new Map(), writes: [], removals });
        return outcome === 'done';
      },
    });

    const mirror: StoreMirror = StoreMirror.create(store, clock, log, {
      prefix: platform.prefix,
      delaysRemovalAfterOutage: platform.delaysRemovalAfterOutage,
      reregistrationWindowMs: settings.reregistrationWindowMs,
      onChange: (key, value, revision) => {
        cluster.apply(platform.decodeChange(key, value), revision, clock.monotonicMs());
      },
      onStoreUnavailable: peers.requestChanges,
      watchesStore: peers.watchesStore,
      onStoreChanges: peers.pushChanges,
    });

    const isWithinColdStartLimit = (member: FleetMember): boolean =>
      isBelowColdLimit(
        member,
        {
          perSecond:
            cluster.configuration()?.services.get(member.upstream.service)?.coldPerSecond ?? 0,
          excess: settings.coldExcess,
          slack: settings.coldSlack,
        },
        Math.max(1, cluster.nodes.size),
        clock.monotonicMs(),
      );

    const rollouts: Rollouts = Rollouts.create(clock, random, log, cluster, {
      node: settings.node,
      aliveNodes: peers.aliveNodes,
      peerUse: peers.peerUse,
      shareReport: peers.shareReport,
      writeStatus: (status, revision) => {
        const key = platform.rolloutStatusKey(status.service);
        return store.commit({
          expected: new Map([[key, revision]]),
          writes: [{ key, value: platform.encodeRolloutStatus(status) }],
          removals: [],
        });
      },
      onSuperseded: () => {
        engineDrainer.scheduleCheck();
      },
    });

    const context: ServingContext = {
      dataCentre: settings.dataCentre,
      clock,
      random,
      log,
      metrics,
      cluster,
      client: platform.upstreams,
      limits: MemoryLimits.create(settings.memoryBytes),
      recordOf: serviceRecords.get,
      nodeCount: () => Math.max(1, cluster.nodes.size),
      isWithinColdLimit: isWithinColdStartLimit,
      rollouts,
      prompts,
      peerUse: peers.peerUse,
      unknownPlacements: (service) =>
        serviceRecords
          .get(service)
          .placements.unknownPlacements(
            clock.monotonicMs(),
            context.nodeCount(),
            peers.announcementDelayMs(),
          ),
      onUseChanged: peers.onUseChanged,
      turnDelayMs: peers.turnDelayMs,
      remainingDrainMs,
    };

    const engineDrainer: EngineDrainer = EngineDrainer.create(context);
    const loadPolling: LoadPolling = LoadPolling.create(context, {
      readsLoadOf: peers.readsLoadOf,
      shareLoad: peers.shareLoad,
      onLoad: (member) => {
        if (member.leaving) {
          engineDrainer.scheduleCheck();
        }
      },
    });
    const expectedDurationMs = (route: Route): number =>
      route.kind === 'streaming'
        ? Math.max(plainRequestDurationMs, route.timeoutMs / 2)
        : plainRequestDurationMs;
    const callerServer = CallerServer.create(context, {
      read: platform.readCallerRequest,
      expectedDurationMs,
      serveCall: (call) => {
        serveCall(context, call);
      },
      serveStream: (call, engine) => {
        const stream = OpenStream.create(context, call, engine);
        engineDrainer.add(stream);
        call.onEnded(() => {
          engineDrainer.remove(stream);
        });
      },
    });

    cluster.fleet.onLeave(({ upstream }) => {
      const remaining = cluster.fleet
        .ofService(upstream.service)
        .filter((member) => !member.leaving);
      const { departures } = serviceRecords.get(upstream.service);
      departures.recordDeparture(clock.monotonicMs(), remaining.length + 1);
    });
    cluster.onChange((change) => {
      switch (change.kind) {
        case 'configuration':
          callerServer.configure(change.configuration);
          return;
        case 'upstream':
          engineDrainer.scheduleCheck();
          return;
        case 'prompt-quarantine':
          prompts.applyStored(change.part, change.isQuarantined);
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
      platform.encodeNode(ownEntry()),
      settings.nodeLeaseMs,
    );

    const isReady = (): boolean =>
      leavingSinceMs === undefined && cluster.configuration() !== undefined && mirror.isComplete();

    /**
     * The commit requires that the key doesn't exist, so only the first node's secret is stored.
     */
    const writeLinkSecret = (): void => {
      if (mirror.isComplete() && cluster.linkSecret() === undefined) {
        void store.commit({
          expected: new Map([[platform.linkSecretKey, 0]]),
          writes: [{ key: platform.linkSecretKey, value: randomBytes(linkSecretBytes) }],
          removals: [],
        });
      }
    };

    /**
     * Splits the connection limit of each upstream among the nodes: upstreams count all nodes'
     * connections.
     */
    const limitConnections = (): void => {
      for (const { name, maxConnections } of cluster.configuration()?.services.values() ?? []) {
        const limit = (connectionLimitShare * maxConnections) / context.nodeCount();
        platform.upstreams.limitConnections(name, Math.max(minConnectionLimit, Math.floor(limit)));
      }
    };

    const sweep = (): void => {
      if (mirror.isComplete()) {
        mirrorCompleteAtMs ??= clock.monotonicMs();
      }
      writeLinkSecret();
      limitConnections();
      cluster.fleet.sweep();
      prompts.sweep();
      const addresses = new Set<string>();
      for (const member of cluster.fleet.members.values()) {
        addresses.add(member.upstream.address);
      }
      platform.upstreams.closeIdleExcept(addresses);
    };
    clock.after(maxSecretDelayMs * random(), sweep);
    const stopTicks = clock.every(sweepIntervalMs, sweep);

    const readyServer = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
    });
    const addresses = (): readonly string[] =>
      chooseAddresses({
        node: settings.node,
        ownAddress: settings.listen.caller,
        ready: isReady(),
        nodes: cluster.nodes.values(),
        connected: peers.aliveNodes(),
        linksSettled:
          mirrorCompleteAtMs !== undefined &&
          clock.monotonicMs() - mirrorCompleteAtMs > linksSettleMs,
      });
    const directoryServer = createDirectoryServer(log, addresses, (found) =>
      platform.encodeDirectory(found, settings.directoryTtlMs),
    );

    const servers: Server[] = [callerServer.server, readyServer, directoryServer];
    await listen(callerServer.server, settings.listen.caller);
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
        const cancel = clock.every(idleCheckIntervalMs, () => {
          if (callerServer.activeRequests() === 0 || remainingDrainMs() === 0) {
            cancel();
            resolve();
          }
        });
      });

    return {
      reload: (next) => {
        settings = next;
        serviceRecords.resetBudgets(next.retries);
        log.event('reloaded', { graceMs: next.graceMs, retryRatio: next.retries.ratio });
      },
      shutDown: async () => {
        leavingSinceMs ??= clock.monotonicMs();
        log.event('leaving', { open: callerServer.activeRequests(), graceMs: settings.graceMs });
        registration.update(platform.encodeNode(ownEntry()));
        await new Promise<void>((resolve) => {
          clock.after(settings.graceMs / 2, resolve);
        });
        // No connection is accepted from here on; requests on open ones are still served.
        callerServer.server.close();
        await Promise.all([whenIdle(), registration.end()]);
        log.event('stopped', { open: callerServer.activeRequests() });
        stopTicks();
        loadPolling.stop();
        rollouts.stop();
        peers.close();
        mirror.stop();
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
