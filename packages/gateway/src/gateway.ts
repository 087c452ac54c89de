import { createServer, type Server } from 'node:http';
import { Random, type Clock } from '@zinniagrade/clock';
import { RetryBudget, type Route } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import type { ReadCallerRequest } from './caller-request.js';
import { Front } from './front.js';
import { LoadPolling } from './load-polling.js';
import type { Log } from './log.js';
import type { MetadataStore } from './metadata-store.js';
import { createMetricsServer, Metrics } from './metrics.js';
import { OpenStream } from './open-stream.js';
import { Registration } from './registration.js';
import { serveCall } from './serve-call.js';
import type { GatewaySettings } from './settings.js';
import { StoreMirror } from './store-mirror.js';
import { StreamMoves } from './stream-moves.js';
import type { UpstreamClient } from './upstream-client.js';
import { View, type Change, type NodeEntry } from './view.js';

/** What the gateway needs of the platform that it runs on. */
export interface Platform {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly upstreams: UpstreamClient;
  readonly readCallerRequest: ReadCallerRequest;
  /** The meaning of a key's value; without a value the key was removed. */
  readonly readChange: (key: string, value: Buffer | undefined) => Change;
  /** Prefixes of the store that hold what a node must know. */
  readonly prefixes: readonly string[];
  readonly returnsAfterOutage: (key: string) => boolean;
  readonly nodeKey: (node: string) => string;
  readonly writeNode: (entry: NodeEntry) => Buffer;
  /** Writes the addresses of nodes in the form that callers read. */
  readonly writeDirectory: (addresses: readonly string[], lifeMs: number) => Buffer;
}

/** A running gateway process. */
export interface Gateway {
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

export const Gateway = {
  create: async (platform: Platform, clock: Clock, log: Log): Promise<Gateway> => {
    const { settings } = platform;
    const metrics = Metrics.create();
    const view = View.create(log);
    const budgets = new Map<string, RetryBudget>();
    let leavingSinceMs: number | undefined;

    const budgetOf = (service: string): RetryBudget => {
      const known = budgets.get(service);
      if (known !== undefined) {
        return known;
      }
      const budget = RetryBudget.create(settings.retries);
      budgets.set(service, budget);
      return budget;
    };

    const leavesInMs = (): number | undefined =>
      leavingSinceMs === undefined
        ? undefined
        : Math.max(0, leavingSinceMs + settings.graceMs - lastMomentMs - clock.monotonicMs());

    const context: ServingContext = {
      clock,
      random: Random.create(Date.now() ^ process.pid),
      log,
      metrics,
      view,
      client: platform.upstreams,
      retryBudget: budgetOf,
      nodeCount: () => Math.max(1, view.nodes.size),
      allowsVersion: () => true,
      leavesInMs,
    };

    const moves = StreamMoves.create(context);
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

    view.onChange((change) => {
      if (change.kind === 'configuration') {
        front.configure(change.configuration);
      }
      if (change.kind === 'upstream') {
        moves.check();
      }
    });
    const polling = LoadPolling.create(context, (member) => {
      if (member.leaving) {
        moves.check();
      }
    });
    const stopSweep = clock.every(sweepIntervalMs, () => {
      view.fleet.sweep();
      const addresses = new Set<string>();
      for (const member of view.fleet.members.values()) {
        addresses.add(member.upstream.address);
      }
      platform.upstreams.retain(addresses);
    });

    const mirrors = platform.prefixes.map((prefix) =>
      StoreMirror.create(platform.store, clock, log, {
        prefix,
        returnsAfterOutage: platform.returnsAfterOutage,
        registrationReturnMs: settings.registrationReturnMs,
        onValue: (key, value, revision) => {
          view.apply(platform.readChange(key, value), revision, clock.monotonicMs());
        },
        onRemoval: (key, revision) => {
          view.apply(platform.readChange(key, undefined), revision, clock.monotonicMs());
        },
      }),
    );

    const ownEntry = (): NodeEntry => ({
      node: settings.node,
      dataCentre: settings.dataCentre,
      callerAddress: settings.listen.caller,
      ...(settings.listen.nodes === undefined ? {} : { nodeAddress: settings.listen.nodes }),
      leaving: leavingSinceMs !== undefined,
    });
    const registration = Registration.create(
      platform.store,
      clock,
      log,
      platform.nodeKey(settings.node),
      platform.writeNode(ownEntry()),
      settings.nodeLeaseMs,
    );

    const isReady = (): boolean =>
      leavingSinceMs === undefined &&
      view.configuration() !== undefined &&
      mirrors.every((mirror) => mirror.isComplete());

    const callerAddresses = (): readonly string[] => {
      const addresses = new Set<string>();
      if (isReady()) {
        addresses.add(settings.listen.caller);
      }
      for (const entry of view.nodes.values()) {
        if (!entry.leaving && entry.node !== settings.node) {
          addresses.add(entry.callerAddress);
        }
      }
      return [...addresses];
    };

    const readyServer = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
    });
    const directoryServer = createServer((_request, response) => {
      const addresses = callerAddresses();
      if (addresses.length === 0) {
        response.writeHead(503, { 'content-length': 0 }).end();
        return;
      }
      const body = platform.writeDirectory(addresses, settings.directoryLifeMs);
      response
        .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
        .end(body);
    });

    await listen(front.server, settings.listen.caller);
    await listen(readyServer, settings.listen.ready);
    await listen(directoryServer, settings.listen.directory);
    if (settings.listen.metrics !== undefined) {
      await listen(createMetricsServer(metrics), settings.listen.metrics);
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
      leave: async () => {
        leavingSinceMs ??= clock.monotonicMs();
        log.event('leaving', { open: front.openRequests(), graceMs: settings.graceMs });
        registration.update(platform.writeNode(ownEntry()));
        await new Promise<void>((resolve) => {
          clock.after(settings.graceMs / 2, resolve);
        });
        await whenIdle();
        log.event('stopped', { open: front.openRequests() });
        polling.stop();
        stopSweep();
        for (const mirror of mirrors) {
          mirror.stop();
        }
        await registration.end();
        platform.upstreams.close();
        platform.store.close();
        log.close();
      },
    };
  },
};
