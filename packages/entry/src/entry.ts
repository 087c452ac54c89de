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
import type { ChooseUpstream } from './choose-upstream.js';
import { createRoutingChoice } from './choose-upstream.js';
import { DataPath } from './data-path.js';
import type { DataPathSettings } from './entry-settings.js';
import type { MemoryModel } from './memory-model.js';
import { createLearnedMemory } from './memory-model.js';

const expiryIntervalMs = 10_000;
const drainCheckMs = 100;
/** A new system has no configuration yet, so the wait for it is bounded. */
const configurationWaitMs = 5_000;
const configurationCheckMs = 20;

export interface EntryParts {
  readonly settings: DataPathSettings;
  /** Starts the control part. `callerPort` is the port that callers reach. */
  readonly createControl: (
    reports: DataPathReports,
    callerPort: number,
    counters: Counters,
    readLoad: UpstreamClient['loadReport'],
  ) => Promise<NodeControl>;
  readonly claims: ClaimStore;
  readonly logger: Logger;
  readonly clock?: Clock;
  readonly choose?: ChooseUpstream;
  readonly estimateMemory?: MemoryModel;
}

/** A running entry node. */
export interface Entry {
  readonly callerPort: number;
  readonly reports: DataPathReports;
  /**
   * Leaves without cutting off a request: announces it, accepts work until the last address answer
   * has run out, then refuses new work and waits for the open requests.
   */
  readonly leave: () => Promise<void>;
  /** Ends at once; open streams are cut off and can be resumed at another node. */
  readonly close: () => Promise<void>;
}

/** The port that the node will listen on: the one of its settings, or a free one for port 0. */
const choosePort = (host: string, port: number): Promise<number> =>
  port === 0 ? findFreePort(host) : checkPort(host, port);

/** Fails early when the port of the settings is in use. */
const checkPort = async (host: string, port: number): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  await new Promise((resolve) => server.close(resolve));
  return port;
};

/**
 * Starts a node. The port towards callers opens only when control has a configuration: a connection
 * that is refused proves to a caller that nothing ran, an early answer would not.
 */
export const startEntry = async (parts: EntryParts): Promise<Entry> => {
  const { settings, logger } = parts;
  const clock = parts.clock ?? Clock.create();
  const counters = Counters.create(settings.nodeId, settings.statsd);
  const client = UpstreamClient.create({
    ...defaultUpstreamTimeouts,
    idleMs: settings.engineIdleMs,
    callMs: settings.callTimeoutMs,
  });
  const running: { control?: NodeControl } = {};
  let refusesNewWork = false;
  const controlNow = (): NodeControl => {
    const started = running.control;
    if (started === undefined) {
      throw new Error('the node is starting');
    }
    return refusesNewWork
      ? { ...started, view: () => ({ ...started.view(), refusesNewWork: 'leaving' }) }
      : started;
  };
  const dataPath = DataPath.create({
    nodeId: settings.nodeId,
    region: settings.region,
    nodeSecret: settings.nodeSecret,
    control: controlNow,
    client,
    claims: parts.claims,
    clock,
    random: Math.random,
    counters,
    choose: parts.choose ?? createRoutingChoice(settings.nodeId, settings.dataCentre),
    estimateMemory: parts.estimateMemory ?? createLearnedMemory(),
  });
  const wait = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });
  const port = await choosePort(settings.host, settings.callerPort);
  const control = await parts.createControl(dataPath.reports, port, counters, client.loadReport);
  running.control = control;
  const waitUntil = clock.monotonicMs() + configurationWaitMs;
  while (control.view().configuration.revision === 0 && clock.monotonicMs() < waitUntil) {
    await wait(configurationCheckMs);
  }
  const server: CallerServer = await listenForCallers(dataPath.front, {
    host: settings.host,
    port,
  });
  const stopExpiry = clock.every(expiryIntervalMs, dataPath.dropExpired);
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
      logger.info('entry node leaves', { node: settings.nodeId });
      control.announceLeaving();
      await wait(settings.leaveAcceptMs);
      refusesNewWork = true;
      const endsAt = clock.monotonicMs() + settings.drainMs;
      while (dataPath.reports.openRequests() > 0 && clock.monotonicMs() < endsAt) {
        await wait(drainCheckMs);
      }
      logger.info('entry node ends', { openRequests: dataPath.reports.openRequests() });
      await close();
    },
    close,
  };
};
