export * from './cold-limit.js';
export type * from './configuration.js';
export * from './event-splitter.js';
export * from './fleet.js';
export * from './peer-use.js';
export * from './placement.js';
export * from './retry-budget.js';
export * from './route-table.js';
export type * from './upstream.js';
