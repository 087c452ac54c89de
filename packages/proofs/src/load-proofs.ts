import { existsSync, readdirSync } from 'node:fs';
import type { Proof } from './proof.js';

const folder = new URL('./rows/', import.meta.url);

/** Loads the list `proofs` that each file of the folder `rows` exports, in the order of file names. */
export const loadProofs = async (): Promise<readonly Proof[]> => {
  const all: Proof[] = [];
  for (const file of existsSync(folder) ? readdirSync(folder).sort() : []) {
    if (!file.endsWith('.js') || file.endsWith('.test.js')) {
      continue;
    }
    const { proofs } = (await import(new URL(file, folder).href)) as {
      readonly proofs: readonly Proof[];
    };
    all.push(...proofs);
  }
  return all;
};
