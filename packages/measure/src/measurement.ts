export type Policy = 'naive' | 'current' | 'oracle';

export interface MeasurementOptions {
  readonly seed: number;
  readonly policy: Policy;
}

/** Figures by name. Each name ends with its unit, or contains `share` or `count`. */
export type Figures = Readonly<Record<string, number | string | boolean>>;

/** Each file in the folder `measurements` exports one of these as `measurement`. */
export interface Measurement {
  readonly name: string;
  readonly policies: readonly Policy[];
  /** Number of seeds to run, counted from 1, when neither `--seed` nor `--seeds` is given. */
  readonly defaultSeeds: number;
  /** Returns one row of figures for each case of the measurement, for example for each deployment. */
  readonly run: (options: MeasurementOptions) => Promise<readonly Figures[]>;
}

/** Nearest-rank percentile; 0 for an empty list. */
export const percentile = (values: readonly number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.max(0, Math.ceil(fraction * sorted.length) - 1));
  return sorted[index] ?? 0;
};
