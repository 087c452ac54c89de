import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { setImmediate as waitForReads } from 'node:timers/promises';
import { Random, type Clock } from '@zinniagrade/clock';
import { quarantineMs } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import { chooseAddresses, createDirectoryServer } from './directory.js';
import { CallerServer } from './caller-server.js';
import { ColdLimits } from './cold-limits.js';
import { limitServerConnections } from './connection-limits.js';
import { GenerationAdmission } from './generation-admission.js';
import { createReadyServer } from './http-servers.js';
import { createLinkSecret, maxSecretDelayMs } from './link-secret.js';
import { Listeners } from './listeners.js';
import { LoadPolling } from './load-polling.js';
import type { Log } from './log.js';
import { LostEntries } from './lost-entries.js';
import { MemoryGate } from './memory-gate.js';
import { MemoryLimits } from './memory-limits.js';
import { keepFormerValue, MemoryWatch, noMemoryUse, readMemoryUse } from './memory-use.js';
import { createMetricsServer, Metrics } from './metrics.js';
import { NodeRelay } from './node-relay.js';
import { NodePeers } from './node-peers.js';
import { observeStore } from './observed-store.js';
import { OpenStream } from './open-stream.js';
import { passOnStream } from './pass-on-stream.js';
import type { Platform } from './platform.js';
import { QuarantineEntries } from './quarantine-entries.js';
import { Registration } from './registration.js';
import { decideRestoredEntry } from './restored-entry.js';
import { RequestGuard } from './request-guard.js';
import { ResponseMemory } from './response-memory.js';
import { Rollouts } from './rollouts.js';
import { serveCall } from './serve-call.js';
import { SharedLoads } from './shared-loads.js';
import { SharedSpeeds } from './shared-speeds.js';
import { ServiceReach, type WatchedReach } from './service-reach.js';
import { ServiceRecords } from './service-records.js';
import type { GatewaySettings, LoadFeature } from './settings.js';
import { StatedLimits } from './stated-limits.js';
import { StoreMirror } from './store-mirror.js';
import { StoreOutages } from './store-outages.js';
import { Duties } from './duties.js';
import { EngineDrainer } from './engine-drainer.js';
import { Shutdown } from './shutdown.js';
import {
  callerAddressesOf,
  closeUnusedConnections,
  limitConnections,
} from './upstream-connections.js';
import { countUnusedConnections } from './unused-connections.js';
import { UnreadResponses } from './unread-responses.js';
import { UpstreamPace } from './upstream-pace.js';
import { UpstreamStatements } from './upstream-statements.js';
import { ClusterState, type NodeEntry } from './cluster-state.js';

/** A running gateway process. */
export interface Gateway {
  /**
   * Resolves with true when all addresses are open, without that of the metrics, and with false if
   * the shutdown began before; rejects if one can never be opened.
   */
  readonly listening: Promise<boolean>;
  /** Applies changed settings; changed addresses take effect at the next start. */
  readonly reload: (settings: GatewaySettings) => void;
  /**
   * Serves open requests and those that can complete within the grace period, then closes
   * everything.
   */
  readonly shutDown: () => Promise<void>;
}

const sweepIntervalMs = 1000;
/** Time that links to all nodes need to open after the mirror is complete. */
const linksSettleMs = 2500;

export const Gateway = {
  /**
   * `readResidentBytes` reads the memory that counts against the limit of the settings.
   * `statedReach` replaces what this node finds out of the services that it reaches.
   */
  create: (
    platform: Platform,
    clock: Clock,
    log: Log,
    readResidentBytes: () => number = () => process.memoryUsage.rss(),
    statedReach?: ServiceReach,
  ): Gateway => {
    let { settings } = platform;
    const metrics = Metrics.create();
    const cluster = ClusterState.create(log);
    const random = Random.create(randomBytes(4).readInt32LE());
    const serviceRecords = ServiceRecords.create(settings.retries);
    const outages = StoreOutages.create(clock, log, {
      minOutageMs: settings.minExpiryOutageMs,
      onRuledOut: () => {
        mirror.onOutageRuledOut();
      },
    });
    const store = observeStore(platform.store, clock, {
      onAnswered: outages.recordAnswer,
      onFailed: (isWatch) => {
        outages.recordFailure();
        if (!isWatch) {
          mirror.checkWatch();
        }
      },
    });
    const shutdown = Shutdown.create(clock, () => settings.graceMs);
    /**
     * Only the caller's deadline bounds a generation of unknown length: how long others took doesn't,
     * and a version may raise the route's time-out while the request is open.
     */
    const canFinish: ServingContext['canFinish'] = ({ callerDeadlineAtMs }) =>
      shutdown.canFinish(callerDeadlineAtMs - clock.monotonicMs());
    let mirrorCompleteAtMs: number | undefined;

    const peers: NodePeers = NodePeers.create(clock, random, log, cluster, {
      self: {
        node: settings.node,
        dataCentre: settings.dataCentre,
        capacity: settings.capacity,
      },
      address: settings.listen.nodes,
      mirror: () => mirror,
      cutOffServices: () => watchedReach.cutOffServices(),
      storeAvailableForMs: outages.availableForMs,
      onStoreAvailable: outages.receive,
      onLoad: (upstream, load, readAtMs) => {
        loadPolling.receiveLoad(upstream, load, readAtMs);
      },
      onReport: (node, service, report) => {
        rollouts.receiveReport(node, service, report);
      },
      onFinding: (finding) => {
        guard.receive(finding);
      },
      findings: () => guard.findings(),
      onLimit: (finding) => {
        statedLimits.receive(finding);
      },
      onPeerUse: (node, uses) => {
        if (queuesGenerations) {
          admission.onPeerUse(node, uses);
        }
      },
      limits: () => statedLimits.findings(),
    });

    const watchedReach: WatchedReach = ServiceReach.create(clock, random, log, cluster, {
      node: settings.node,
      client: platform.upstreams,
      peers,
    });
    const reach: ServiceReach = statedReach ?? watchedReach;

    const statedLimits: StatedLimits = StatedLimits.create(clock, log, cluster.fleet, {
      node: settings.node,
      nodeCount: () => Math.max(1, cluster.nodes.size),
      aliveNodes: peers.aliveNodes,
      share: peers.shareLimit,
    });

    const isOn = (feature: LoadFeature): boolean => settings.loadFeatures?.has(feature) === true;
    const queuesGenerations = isOn('admission-queue');
    const sharedSpeeds = isOn('shared-speeds')
      ? SharedSpeeds.create(clock, log, metrics, cluster.fleet, {
          nodeCount: () => Math.max(1, cluster.nodes.size),
          openTopic: peers.openTopic,
        })
      : undefined;
    const serviceLoads = isOn('shared-speeds')
      ? SharedLoads.create(clock, log, metrics, cluster.fleet, {
          nodeCount: () => Math.max(1, cluster.nodes.size),
          peerUse: peers.peerUse,
          openTopic: peers.openTopic,
        })
      : undefined;

    const quarantineEntries = QuarantineEntries.create(store, platform.quarantineEntryKey);
    const guard: RequestGuard = RequestGuard.create(clock, log, {
      node: settings.node,
      aliveNodes: peers.aliveNodes,
      share: peers.shareFinding,
      actsOnKey: peers.actsOn,
      writeEntry: quarantineEntries.write,
      removeEntry: quarantineEntries.remove,
    });

    const lostEntries = LostEntries.create(log, async ({ key, value, restoredRevision }) => {
      const change = platform.decodeChange(key, value);
      if (change.kind === 'quarantine') {
        return (await quarantineEntries.write(change.key, quarantineMs)) ? 'done' : 'conflict';
      }
      const { outcome } = await store.commit({
        expected: new Map([[key, restoredRevision]]),
        writes: [{ key, value }],
        removals: [],
      });
      return outcome;
    });

    const mirror: StoreMirror = StoreMirror.create(store, clock, log, {
      prefix: platform.prefix,
      delaysRemovalAfterOutage: platform.delaysRemovalAfterOutage,
      reregistrationWindowMs: settings.reregistrationWindowMs,
      outages,
      restoredEntryLapseMs: settings.restoredEntryLapseMs,
      decideRestoredEntry: (key, known, restored) =>
        decideRestoredEntry(
          platform.decodeChange(key, known),
          platform.decodeChange(key, restored),
        ),
      onEntryLost: lostEntries.add,
      onChange: (key, value, revision) => {
        cluster.apply(platform.decodeChange(key, value), revision, clock.monotonicMs());
      },
      onStoreUnavailable: peers.requestChanges,
      watchesStore: peers.watchesStore,
      onStoreChanges: peers.pushChanges,
    });

    const coldLimits = ColdLimits.create(clock, cluster, {
      node: settings.node,
      bounds: () => ({ excess: settings.coldExcess, slack: settings.coldSlack }),
    });

    const unknownPlacements = (service: string): number =>
      serviceRecords
        .get(service)
        .placements.unknownPlacements(
          clock.monotonicMs(),
          Math.max(1, cluster.nodes.size),
          peers.announcementDelayMs(),
        );
    const pace = isOn('pace')
      ? UpstreamPace.create(clock, log, cluster, {
          ...peers,
          node: settings.node,
          knowsUpstreams: () => mirrorCompleteAtMs !== undefined,
          unknownPlacements,
          recordRise: metrics.recordRise,
        })
      : undefined;
    metrics.exportPaces(pace?.limits ?? (() => new Map()));

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

    const duties = Duties.create(platform, clock, random, log, {
      cluster,
      peers,
      mirror,
      metrics,
      isLeaving: shutdown.hasBegun,
      reserveShare: (service, engineCount) =>
        serviceRecords.get(service).departures.reserveShare(clock.monotonicMs(), engineCount),
    });

    const limits = MemoryLimits.create(settings.memoryBytes);
    const memory = MemoryGate.create(clock, log, {
      limitBytes: settings.memoryBytes,
      readResidentBytes: keepFormerValue(log, readResidentBytes, 0),
    });
    const unread = UnreadResponses.create(clock, log, limits.maxResponsesBytes);
    const responseMemory = ResponseMemory.create(memory, unread, limits.maxResponsesBytes);
    const admission: GenerationAdmission = GenerationAdmission.create(
      clock,
      random,
      log,
      metrics,
      cluster,
      peers,
    );
    const { queues, demand } = admission;
    const context: ServingContext = {
      dataCentre: settings.dataCentre,
      clock,
      random,
      log,
      metrics,
      cluster,
      client: pace?.observe(watchedReach.client) ?? watchedReach.client,
      limits,
      memory,
      unread,
      responseMemory,
      recordOf: serviceRecords.get,
      queuesGenerations,
      sharesSpeeds: isOn('shared-speeds'),
      queues,
      demand,
      nodeCount: () => Math.max(1, cluster.nodes.size),
      isWithinRateLimits: (member) =>
        coldLimits.allows(member) && statedLimits.allows(member) && (pace?.allows(member) ?? true),
      statements: UpstreamStatements.create(clock, log, cluster.fleet, statedLimits),
      rollouts,
      guard,
      serviceLoads,
      peerUse: peers.peerUse,
      unknownPlacements,
      onUseChanged: () => {
        peers.onUseChanged();
        queues.wake();
      },
      turnDelayMs: peers.turnDelayMs,
      reach,
      relay: NodeRelay.create(
        { clock, random, log, metrics, limits, responseMemory, reach, cluster },
        settings.node,
        platform.nodes,
      ),
      ...(duties === undefined ? {} : { countBegun: duties.countBegun }),
      isLeaving: shutdown.hasBegun,
      canFinish,
    };

    const engineDrainer: EngineDrainer = EngineDrainer.create(context);
    const loadPolling: LoadPolling = LoadPolling.create(context, {
      readsLoadOf: peers.readsLoadOf,
      shareLoad: peers.shareLoad,
      onLoad: (member) => {
        queues.wake();
        if (member.leaving) {
          engineDrainer.scheduleCheck();
        }
      },
    });
    const callerServer = CallerServer.create(context, {
      read: platform.readCallerRequest,
      onReadingEnds: shutdown.onReadingEnds,
      serveCall: (call) => {
        serveCall(context, call);
      },
      serveStream: (call, engine) => {
        if (passOnStream(context, call)) {
          return;
        }
        const stream = OpenStream.create(context, call, engine);
        if (!engine.movable) {
          return;
        }
        engineDrainer.add(stream);
        call.onEnded(() => {
          engineDrainer.remove(stream);
        });
      },
    });

    const unusedConnections = countUnusedConnections(callerServer.server);

    cluster.fleet.onLeave(({ upstream }) => {
      const remaining = cluster.fleet
        .ofService(upstream.service)
        .filter((member) => !member.leaving);
      const { departures } = serviceRecords.get(upstream.service);
      departures.recordDeparture(clock.monotonicMs(), remaining.length + 1);
      engineDrainer.scheduleCheck();
    });
    cluster.onChange((change) => {
      queues.wake();
      switch (change.kind) {
        case 'configuration':
          callerServer.configure(change.configuration);
          return;
        case 'upstream':
          engineDrainer.scheduleCheck();
          return;
        case 'quarantine':
          guard.applyStored(change.key, change.isQuarantined);
          return;
        case 'link-secret':
          peers.open(change.secret);
      }
    });

    const readMemory = keepFormerValue(log, readMemoryUse, noMemoryUse);
    const memoryWatch = MemoryWatch.create(clock, log, {
      limitBytes: settings.memoryBytes,
      read: readMemory,
      held: memory.held,
    });
    metrics.exportMemory(() => ({
      ...readMemory(),
      limit: settings.memoryBytes,
      ...memory.held(),
    }));

    const ownEntry = (): NodeEntry => ({
      node: settings.node,
      dataCentre: settings.dataCentre,
      callerAddress: settings.listen.caller,
      nodeAddress: settings.listen.nodes,
      capacity: settings.capacity,
      leaving: shutdown.hasBegun(),
    });
    let registration: Registration | undefined;
    /** Registers this node once callers can connect to it. */
    const register = (): void => {
      registration = Registration.create(
        store,
        clock,
        log,
        platform.nodeKey(settings.node),
        platform.encodeNode(ownEntry()),
        settings.nodeLeaseMs,
      );
    };

    const isReady = (): boolean =>
      registration !== undefined &&
      !shutdown.hasBegun() &&
      cluster.configuration() !== undefined &&
      mirror.isComplete();

    const sweep = (): void => {
      if (mirror.isComplete()) {
        mirrorCompleteAtMs ??= clock.monotonicMs();
        if (cluster.linkSecret() === undefined) {
          createLinkSecret(store, platform.linkSecretKey);
        }
      }
      limitConnections(context);
      cluster.fleet.sweep();
      guard.sweep();
      lostEntries.sweep();
      closeUnusedConnections(context);
      platform.nodes.closeIdleExcept(callerAddressesOf(cluster.nodes.values()));
    };
    clock.after(maxSecretDelayMs * random(), sweep);
    const stopTicks = clock.every(sweepIntervalMs, sweep);

    const readyServer = createReadyServer(isReady);
    const addresses = (): readonly string[] =>
      chooseAddresses({
        node: settings.node,
        ownAddress: settings.listen.caller,
        ready: isReady(),
        nodes: cluster.nodes.values(),
        connected: peers.aliveNodes(),
        cutOff: watchedReach.cutOffNodes(),
        linksSettled:
          mirrorCompleteAtMs !== undefined &&
          clock.monotonicMs() - mirrorCompleteAtMs > linksSettleMs,
      });
    const directoryServer = createDirectoryServer(log, addresses, (found) =>
      platform.encodeDirectory(found, settings.directoryTtlMs),
    );

    const servers: Server[] = [callerServer.server, readyServer, directoryServer];
    if (settings.maxSockets !== undefined) {
      limitServerConnections(callerServer.server, 'caller', settings.maxSockets, clock, log);
      limitServerConnections(readyServer, 'ready', settings.maxSockets, clock, log);
      limitServerConnections(directoryServer, 'directory', settings.maxSockets, clock, log);
    }
    const listeners = Listeners.create(clock, log);
    const openCallerAddress = async (): Promise<boolean> => {
      const isOpen = await listeners.open(callerServer.server, settings.listen.caller);
      if (isOpen) {
        register();
      }
      return isOpen;
    };
    const openAddresses = async (): Promise<boolean> => {
      const { ready, directory } = settings.listen;
      const areOpen = await Promise.all([
        openCallerAddress(),
        listeners.open(readyServer, ready),
        listeners.open(directoryServer, directory),
      ]);
      if (areOpen.includes(false)) {
        return false;
      }
      log.event('started', { ...settings.listen, dataCentre: settings.dataCentre });
      return true;
    };
    if (settings.listen.metrics !== undefined) {
      const metricsServer = createMetricsServer(metrics);
      servers.push(metricsServer);
      if (settings.maxSockets !== undefined) {
        limitServerConnections(metricsServer, 'metrics', settings.maxSockets, clock, log);
      }
      listeners.open(metricsServer, settings.listen.metrics).catch((error: unknown) => {
        log.event('no metrics', { reason: String(error) });
      });
    }

    return {
      listening: openAddresses(),
      reload: (next) => {
        settings = next;
        serviceRecords.resetBudgets(next.retries);
        log.event('reloaded', { graceMs: next.graceMs, retryRatio: next.retries.ratio });
      },
      shutDown: async () => {
        shutdown.begin();
        log.event('leaving', { open: callerServer.activeRequests(), graceMs: settings.graceMs });
        listeners.stop();
        const handOver = duties?.handOver();
        if (registration !== undefined) {
          registration.update(platform.encodeNode(ownEntry()));
          await new Promise<void>((resolve) => {
            clock.after(settings.graceMs / 2, resolve);
          });
        }
        // Closing ends idle connections: a request that was received while the process was busy is
        // read first.
        await waitForReads();
        // No connection is accepted from here on; requests on open ones are still served.
        callerServer.server.close();
        let isRegistered = registration !== undefined;
        void registration?.end().finally(() => (isRegistered = false));
        // Requests that arrive while the store has not answered are served too, and so are those
        // that callers have yet to send on connections that they have just opened.
        await shutdown.whenIdle(
          () => !isRegistered && callerServer.activeRequests() === 0 && unusedConnections() === 0,
        );
        log.event('stopped', { open: callerServer.activeRequests() });
        await handOver;
        await duties?.stop();
        stopTicks();
        admission.stop();
        memoryWatch.stop();
        memory.stop();
        unread.stop();
        loadPolling.stop();
        sharedSpeeds?.stop();
        serviceLoads?.stop();
        rollouts.stop();
        watchedReach.stop();
        peers.close();
        mirror.stop();
        for (const server of servers) {
          server.close();
          server.closeAllConnections();
        }
        platform.upstreams.close();
        platform.nodes.close();
        store.close();
        log.close();
      },
    };
  },
};
