import { Clock } from '@zinniagrade/clock';
import { readSettingsOrExit } from '@zinniagrade/settings';
import { serveOrExit } from './json-server.js';
import { ServiceStandIn, serviceStandInSettingsSchema } from './service-server.js';

const settings = readSettingsOrExit(serviceStandInSettingsSchema);
const exitProcess = (): void => {
  process.exit(1);
};
await serveOrExit(() => ServiceStandIn.create(settings, Clock.create(), exitProcess));
