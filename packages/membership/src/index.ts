export * from './failure-detector.js';
export * from './hash.js';
export * from './isolation.js';
export * from './membership.js';
export * from './membership-state.js';
export type * from './membership-step.js';
export * from './overlay.js';
