export type * from './caller-request.js';
export * from './gateway.js';
export * from './line-output.js';
export * from './log.js';
export type * from './metadata-store.js';
export type * from './settings.js';
export type * from './upstream-client.js';
export * from './unexpected-errors.js';
export * from './cluster-state.js';
