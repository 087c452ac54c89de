export type * from './call-simulation-options.js';
export * from './call-simulation.js';
