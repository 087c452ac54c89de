import { Clock } from '@zinniagrade/clock';
import { Logger } from '@zinniagrade/logger';
import { readSettingsOrExit } from '@zinniagrade/settings';
import { Collector } from './collector.js';
import { collectorSettingsSchema } from './collector-settings.js';

const settings = readSettingsOrExit(collectorSettingsSchema);
const logger = Logger.create(settings.name);

try {
  const collector = await Collector.create({ ...settings, clock: Clock.create() });
  logger.info('listening', { host: settings.listen.host, port: collector.port });
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      logger.info('stopping', { signal });
      void collector.close();
    });
  }
} catch (error) {
  logger.error('cannot listen', { detail: String(error) });
  process.exitCode = 1;
}
