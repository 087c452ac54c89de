import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { fileURLToPath } from 'node:url';
import { faultGroups } from './plan-for-seed.js';
import { runSoak, type SoakResult } from './run-soak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    count: { type: 'string', default: '1' },
    /** Seconds within which faults begin, for each seed. */
    seconds: { type: 'string', default: '15' },
    /** Seeds run concurrently; each starts four gateways. */
    jobs: { type: 'string', default: '1' },
    /** Groups of faults, separated by commas; without it, they follow from the seed. */
    faults: { type: 'string' },
    folder: { type: 'string', default: 'target/soak' },
    /** Path of the compiled gateway. A faulty build shows whether the checks find its faults. */
    program: {
      type: 'string',
      default: fileURLToPath(new URL('../../../platform/dist/main.js', import.meta.url)),
    },
  },
});

const firstSeed = Number(values.seed);
const { program } = values;
const lastSeed = firstSeed + Number(values.count) - 1;
const named = values.faults?.split(',') ?? [];
const unknown = named.filter((name) => !faultGroups.some((group) => group === name));
if (unknown.length > 0) {
  process.stderr.write(
    `unknown faults ${unknown.join(', ')}; known are ${faultGroups.join(', ')}\n`,
  );
  process.exit(2);
}
const groups =
  named.length === 0 ? {} : { groups: faultGroups.filter((group) => named.includes(group)) };
let nextSeed = firstSeed;
let brokenSeeds = 0;

const reportResult = (result: SoakResult, folder: string): void => {
  const verdict = result.violations.length === 0 ? 'held' : 'broken';
  process.stdout.write(
    `seed ${String(result.seed)} (${result.groups.join(', ')}) ${verdict}: ${String(result.served)} of ${String(result.requests)} served, ${String(result.faults.length)} faults, own delay ${String(result.maxOwnDelayMs)} ms\n`,
  );
  for (const { promise, detail } of result.violations.slice(0, 10)) {
    process.stdout.write(`  BROKEN ${promise}: ${detail}\n`);
  }
  writeFileSync(join(folder, 'result.json'), JSON.stringify(result, undefined, 2));
  brokenSeeds += result.violations.length === 0 ? 0 : 1;
};

const runSeeds = async (): Promise<void> => {
  while (nextSeed <= lastSeed) {
    const seed = nextSeed;
    nextSeed += 1;
    const folder = join(values.folder, String(seed));
    mkdirSync(folder, { recursive: true });
    const faultPeriodMs = Number(values.seconds) * 1000;
    reportResult(await runSoak({ seed, faultPeriodMs, program, folder, ...groups }), folder);
  }
};

await Promise.all(Array.from({ length: Number(values.jobs) }, runSeeds));
process.stdout.write(
  `${String(lastSeed - firstSeed + 1 - brokenSeeds)} seeds held, ${String(brokenSeeds)} broken\n`,
);
process.exit(brokenSeeds > 0 ? 1 : 0);
