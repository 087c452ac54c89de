export * from './constants.js';
export * from './credit-owner.js';
export { divideFairly, type Claim } from './fair-division.js';
export * from './held-limits.js';
export { equalShare } from './node-limits.js';
export type * from './owner-state.js';
export { type LatencyMedians } from './ramp.js';
export * from './rendezvous.js';
