import { Clock, HybridClock } from '@zinniagrade/clock';
import { Control } from '@zinniagrade/control';
import { Logger } from '@zinniagrade/logger';
import { NodeLink } from '@zinniagrade/node-link';
import { Platform } from '@zinniagrade/platform';
import { EventSender } from '@zinniagrade/timeline';
import { addressHoldMs } from './addresses.js';
import type { EntrySettings } from './entry-settings.js';
import type { Entry } from './entry.js';
import { startEntry } from './entry.js';
import { createStoreClaims } from './store-claims.js';

/** Starts a complete entry node: data path, control plane, platform client and timeline. */
export const startEntryProcess = async (settings: EntrySettings): Promise<Entry> => {
  const { nodeId, host, nodeSecret, linkPort, dataCentre, region, seeds } = settings;
  const clock = Clock.create();
  const logger = Logger.create(nodeId);
  const platform = Platform.create(settings.platform, clock);
  const timeline = EventSender.create({
    process: nodeId,
    address: settings.timeline,
    secret: nodeSecret,
    clock,
    hybridClock: HybridClock.create(clock.wallMs),
  });
  const entry = await startEntry({
    settings,
    logger,
    clock,
    claims: createStoreClaims(platform.store, clock),
    createControl: (dataPath, callerPort, counters, readLoad) =>
      Control.create(
        { nodeId, host, callerPort, dataCentre, region, seeds, holdMs: addressHoldMs },
        {
          clock,
          random: Math.random,
          logger,
          counters,
          event: timeline.emit,
          store: platform.store,
          vms: platform.vms,
          openLink: (events) =>
            NodeLink.create(
              { nodeId, host, port: linkPort, secret: nodeSecret },
              clock,
              counters,
              events,
            ),
          dataPath,
          readLoad,
        },
      ),
  });
  const closeClients = async (): Promise<void> => {
    timeline.close();
    await platform.close();
  };
  return {
    ...entry,
    leave: async () => {
      await entry.leave();
      await closeClients();
    },
    close: async () => {
      await entry.close();
      await closeClients();
    },
  };
};
