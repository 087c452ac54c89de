import { Clock } from '@zinniagrade/clock';
import { serveOrExit } from '@zinniagrade/service-standin';
import { readSettingsOrExit } from '@zinniagrade/settings';
import { PlatformStandIn } from './platform-server.js';
import { settingsSchema } from './settings.js';

const settings = readSettingsOrExit(settingsSchema);
await serveOrExit(() => PlatformStandIn.create(settings, Clock.create()));
