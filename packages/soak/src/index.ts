export * from './checks.js';
export * from './fault-plan.js';
export * from './ledger.js';
export * from './run-soak.js';
