export * from './choose-upstream.js';
export * from './prefix-index.js';
export * from './prompt-prefixes.js';
export * from './routing-table.js';
