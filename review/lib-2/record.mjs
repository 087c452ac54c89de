/* global performance */
import { writeFileSync } from 'node:fs';

const startedAtMs = performance.now();
const lines = [];

/** Milliseconds since the start of the script. */
export const now = () => performance.now() - startedAtMs;

/** Adds a line to the record of the case, with the time at which the event was seen. */
export const note = (text, atMs = now()) => {
  lines.push({ atMs, text });
};

/** Writes the record in order of time, and prints the lines that conclude it. */
export const writeRecord = (file, conclusion) => {
  const sorted = [...lines].sort((a, b) => a.atMs - b.atMs);
  const text = sorted.map(({ atMs, text: line }) => `${(atMs / 1000).toFixed(3)} s  ${line}`);
  writeFileSync(file, `${[...text, '', ...conclusion].join('\n')}\n`);
  for (const line of conclusion) {
    console.log(line);
  }
};
