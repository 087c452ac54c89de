import { readFileSync } from 'node:fs';
import type { NaiveEntrySettings } from './naive-entry.js';
import { NaiveEntry } from './naive-entry.js';

const settings = JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')) as NaiveEntrySettings;
const { port } = await NaiveEntry.create(settings);
process.stdout.write(`${JSON.stringify({ ready: true, callerPort: port })}\n`);
// There is no SIGTERM handler: by default the signal ends the process at once.
