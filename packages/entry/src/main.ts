import { readSettingsOrExit } from '@zinniagrade/settings';
import { entrySettings } from './entry-settings.js';
import { startEntryProcess } from './entry-process.js';

const settings = readSettingsOrExit(entrySettings);

const fail = (error: unknown): never => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
};

const entry = await startEntryProcess(settings).catch(fail);
// Tells a parent process which port the node listens on.
process.stdout.write(
  `${JSON.stringify({ ready: true, nodeId: settings.nodeId, callerPort: entry.callerPort })}\n`,
);

let isLeaving = false;
process.on('SIGTERM', () => {
  if (!isLeaving) {
    isLeaving = true;
    entry.leave().then(() => process.exit(0), fail);
  }
});
process.on('SIGINT', () => {
  entry.close().then(() => process.exit(0), fail);
});
