import { readdirSync } from 'node:fs';
import { parseArgs } from 'node:util';
import type { Figures, Measurement, Policy } from './measurement.js';
import { summarise } from './summary.js';

const measurementsFolder = new URL('./measurements/', import.meta.url);
const policies: readonly string[] = ['naive', 'current', 'oracle'];

const measurementNames = readdirSync(measurementsFolder)
  .filter((file) => file.endsWith('.js') && !file.endsWith('.test.js'))
  .map((file) => file.slice(0, -'.js'.length))
  .sort();

const fail = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(2);
};

const print = (row: Figures): void => {
  process.stdout.write(`${JSON.stringify(row)}\n`);
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    list: { type: 'boolean', default: false },
    seed: { type: 'string' },
    seeds: { type: 'string' },
    policy: { type: 'string', default: 'current' },
  },
});

const runAll = async (measurement: Measurement, policy: Policy): Promise<void> => {
  const seeds =
    values.seed === undefined
      ? Array.from(
          { length: Number(values.seeds ?? measurement.defaultSeeds) },
          (_, index) => index + 1,
        )
      : [Number(values.seed)];
  const rowsByIndex: Figures[][] = [];
  for (const seed of seeds) {
    const rows = await measurement.run({ seed, policy });
    for (const [index, figures] of rows.entries()) {
      print({ name: measurement.name, seed, policy, ...figures });
      (rowsByIndex[index] ??= []).push(figures);
    }
  }
  if (seeds.length > 1) {
    for (const rows of rowsByIndex) {
      print({ name: measurement.name, summary: true, policy, ...summarise(rows) });
    }
  }
};

if (values.list) {
  process.stdout.write(measurementNames.map((name) => `${name}\n`).join(''));
} else {
  const [name] = positionals;
  if (name === undefined || !measurementNames.includes(name)) {
    fail(`expected the name of one measurement: ${measurementNames.join(', ')}`);
  }
  if (!policies.includes(values.policy)) {
    fail(`--policy must be one of ${policies.join(', ')}`);
  }
  const { measurement } = (await import(new URL(`${name ?? ''}.js`, measurementsFolder).href)) as {
    readonly measurement: Measurement;
  };
  const policy = values.policy as Policy;
  if (!measurement.policies.includes(policy)) {
    fail(`${measurement.name} supports only the policies ${measurement.policies.join(', ')}`);
  }
  await runAll(measurement, policy);
}
