import { Clock } from '@zinniagrade/clock';
import { serveOrExit } from '@zinniagrade/service-standin';
import { readSettingsOrExit } from '@zinniagrade/settings';
import { EngineStandIn } from './engine-server.js';
import { engineStandInSettingsSchema } from './settings.js';

const settings = readSettingsOrExit(engineStandInSettingsSchema);
await serveOrExit(() => EngineStandIn.create(settings, Clock.create()));
