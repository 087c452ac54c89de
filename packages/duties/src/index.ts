export * from './holding.js';
export type * from './holding-state.js';
export * from './instant.js';
