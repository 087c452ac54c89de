import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { fileURLToPath } from 'node:url';
import { runSoak, type SoakResult } from './run-soak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    count: { type: 'string', default: '1' },
    /** Time in which faults begin, for each seed. */
    seconds: { type: 'string', default: '15' },
    /** Seeds at a time; each runs four gateways. */
    jobs: { type: 'string', default: '1' },
    folder: { type: 'string', default: 'target/soak' },
    /** Compiled gateway, to show that the checks find faults that were put into another one. */
    program: {
      type: 'string',
      default: fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url)),
    },
  },
});

const first = Number(values.seed);
const { program } = values;
const last = first + Number(values.count) - 1;
let next = first;
let broken = 0;

const report = (result: SoakResult, folder: string): void => {
  const verdict = result.violations.length === 0 ? 'held' : 'broken';
  process.stdout.write(
    `seed ${String(result.seed)} ${verdict}: ${String(result.served)} of ${String(result.requests)} served, ${String(result.faults.length)} faults\n`,
  );
  for (const { promise, detail } of result.violations.slice(0, 10)) {
    process.stdout.write(`  BROKEN ${promise}: ${detail}\n`);
  }
  writeFileSync(join(folder, 'result.json'), JSON.stringify(result, undefined, 2));
  broken += result.violations.length === 0 ? 0 : 1;
};

const work = async (): Promise<void> => {
  while (next <= last) {
    const seed = next;
    next += 1;
    const folder = join(values.folder, String(seed));
    mkdirSync(folder, { recursive: true });
    const faultMs = Number(values.seconds) * 1000;
    report(await runSoak({ seed, faultMs, program, folder }), folder);
  }
};

await Promise.all(Array.from({ length: Number(values.jobs) }, work));
process.stdout.write(`${String(last - first + 1 - broken)} seeds held, ${String(broken)} broken\n`);
process.exit(broken > 0 ? 1 : 0);
