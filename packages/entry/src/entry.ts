import { createServer } from 'node:net';
import type { CallerServer } from '@zinniagrade/caller';
import { listenForCallers } from '@zinniagrade/caller';
import { Clock } from '@zinniagrade/clock';
import type { DataPathReports, NodeControl } from '@zinniagrade/control';
import { findFreePort } from '@zinniagrade/free-ports';
import { Counters } from '@zinniagrade/logger';
import type { Logger } from '@zinniagrade/logger';
import { UpstreamClient, defaultUpstreamTimeouts } from '@zinniagrade/upstream';
import type { ClaimStore } from './claim-key.js';
import type { UpstreamChooser } from './choose-upstream.js';
import { createRoutingChooser } from './choose-upstream.js';
import { DataPath } from './data-path.js';
import type { DataPathSettings } from './entry-settings.js';
import type { MemoryModel } from './memory-model.js';
import { createLearnedMemoryModel } from './memory-model.js';

const keyExpiryIntervalMs = 10_000;
const drainPollIntervalMs = 100;
/** Bounded, because a new deployment has no configuration yet. */
const maxConfigurationWaitMs = 5_000;
const configurationPollIntervalMs = 20;

export interface EntryOptions {
  readonly settings: DataPathSettings;
  /** Starts the control plane. `callerPort` is the port for callers. */
  readonly createControl: (
    reports: DataPathReports,
    callerPort: number,
    counters: Counters,
    readLoad: UpstreamClient['loadReport'],
  ) => Promise<NodeControl>;
  readonly claims: ClaimStore;
  readonly logger: Logger;
  readonly clock?: Clock;
  readonly chooseUpstream?: UpstreamChooser;
  readonly memoryModel?: MemoryModel;
}

/** A running entry node. */
export interface Entry {
  readonly callerPort: number;
  readonly reports: DataPathReports;
  /**
   * Shuts down gracefully: announces that the node leaves, accepts work for `leaveAcceptMs`, until
   * the last address answer has expired, then refuses new work and waits up to `drainMs` for open
   * requests.
   */
  readonly leave: () => Promise<void>;
  /** Shuts down immediately. Open streams are cut off and can be resumed at another node. */
  readonly close: () => Promise<void>;
}

/** The port to listen on: the configured one, or a free one for port 0. */
const choosePort = (host: string, port: number): Promise<number> =>
  port === 0 ? findFreePort(host) : ensurePortIsFree(host, port);

/** Rejects if the port is in use. */
const ensurePortIsFree = async (host: string, port: number): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/**
 * Starts a node. The port for callers opens once the control plane has a configuration, or after
 * `maxConfigurationWaitMs`: a refused connection proves to a caller that nothing ran, while an
 * answer without a configuration would not.
 */
export const startEntry = async (options: EntryOptions): Promise<Entry> => {
  const { settings, logger } = options;
  const clock = options.clock ?? Clock.create();
  const counters = Counters.create(settings.nodeId, settings.statsd);
  const client = UpstreamClient.create({
    ...defaultUpstreamTimeouts,
    idleMs: settings.engineIdleMs,
    callMs: settings.callTimeoutMs,
  });
  const controlHolder: { control?: NodeControl } = {};
  let refusesNewWork = false;
  const currentControl = (): NodeControl => {
    const startedControl = controlHolder.control;
    if (startedControl === undefined) {
      throw new Error('entry node is still starting: the control plane is not available yet');
    }
    return refusesNewWork
      ? { ...startedControl, view: () => ({ ...startedControl.view(), refusesNewWork: 'leaving' }) }
      : startedControl;
  };
  const dataPath = DataPath.create({
    nodeId: settings.nodeId,
    region: settings.region,
    nodeSecret: settings.nodeSecret,
    control: currentControl,
    client,
    claims: options.claims,
    clock,
    random: Math.random,
    counters,
    chooseUpstream:
      options.chooseUpstream ?? createRoutingChooser(settings.nodeId, settings.dataCentre),
    memoryModel: options.memoryModel ?? createLearnedMemoryModel(),
  });
  const delay = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });
  const port = await choosePort(settings.host, settings.callerPort);
  const control = await options.createControl(dataPath.reports, port, counters, client.loadReport);
  controlHolder.control = control;
  const configurationDeadline = clock.monotonicMs() + maxConfigurationWaitMs;
  while (
    control.view().configuration.revision === 0 &&
    clock.monotonicMs() < configurationDeadline
  ) {
    await delay(configurationPollIntervalMs);
  }
  const server: CallerServer = await listenForCallers(dataPath.callerApi, {
    host: settings.host,
    port,
  });
  const stopExpiry = clock.every(keyExpiryIntervalMs, dataPath.dropExpiredKeys);
  logger.info('entry node started', { node: settings.nodeId, callerPort: server.port });

  const close = async (): Promise<void> => {
    stopExpiry();
    await server.close();
    await control.close();
    await client.close();
    counters.close();
  };
  return {
    callerPort: server.port,
    reports: dataPath.reports,
    leave: async () => {
      logger.info('entry node leaving: graceful shutdown started', { node: settings.nodeId });
      control.announceLeaving();
      await delay(settings.leaveAcceptMs);
      refusesNewWork = true;
      const drainDeadline = clock.monotonicMs() + settings.drainMs;
      while (dataPath.reports.openRequests() > 0 && clock.monotonicMs() < drainDeadline) {
        await delay(drainPollIntervalMs);
      }
      logger.info('entry node stopping: drain finished or timed out', {
        openRequests: dataPath.reports.openRequests(),
      });
      await close();
    },
    close,
  };
};
