import type { Figures } from './measurement.js';
import { percentile } from './measurement.js';

const isNumber = (value: unknown): value is number => typeof value === 'number';

/** Median, lowest and highest value over the seeds, for each figure of one case. */
export const summarise = (rows: readonly Figures[]): Figures => {
  const summary: Record<string, number | string | boolean> = { seeds: rows.length };
  for (const [name, first] of Object.entries(rows[0] ?? {})) {
    if (!isNumber(first)) {
      summary[name] = first;
      continue;
    }
    const values = rows.map((row) => row[name]).filter(isNumber);
    summary[`${name}_median`] = percentile(values, 0.5);
    summary[`${name}_lowest`] = Math.min(...values);
    summary[`${name}_highest`] = Math.max(...values);
  }
  return summary;
};
