export type * from './claim-key.js';
export { unavailableClaimStore } from './claim-key.js';
export * from './data-path.js';
export * from './entry.js';
export * from './entry-settings.js';
export type * from './permitted.js';
export * from './placement.js';
export * from './static-control.js';
