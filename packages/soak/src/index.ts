export * from './checks.js';
export * from './fault-plan.js';
export * from './observations.js';
export * from './run-soak.js';
