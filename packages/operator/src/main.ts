import { Clock, HybridClock } from '@zinniagrade/clock';
import { Counters, Logger } from '@zinniagrade/logger';
import { Platform } from '@zinniagrade/platform';
import { readSettingsOrExit } from '@zinniagrade/settings';
import { EventSender } from '@zinniagrade/timeline';
import { OperatorServer } from './operator-server.js';
import { operatorSettingsSchema } from './operator-settings.js';

const settings = readSettingsOrExit(operatorSettingsSchema);
const logger = Logger.create(settings.name);
const clock = Clock.create();
const platform = Platform.create(settings.platform, clock, Counters.create(settings.name));

try {
  const sender = EventSender.create({
    process: settings.name,
    address: settings.timeline,
    secret: settings.secret,
    clock,
    hybridClock: HybridClock.create(clock.wallMs),
  });
  const { emit } = sender;
  const server = await OperatorServer.create({ settings, platform, clock, logger, emit });
  logger.info('listening', { host: settings.listen.host, port: server.port });
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      logger.info('stopping', { signal });
      sender.close();
      void server.close().then(() => platform.close());
    });
  }
} catch (error) {
  logger.error('cannot listen', { detail: String(error) });
  process.exit(1);
}
