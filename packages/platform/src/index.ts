export * from './fake-store.js';
export * from './platform-client.js';
export * from './rate-budget.js';
export type * from './store.js';
