export * from './configuration/index.js';
export * from './data-path/index.js';
export * from './load/index.js';
export * from './moves/index.js';
