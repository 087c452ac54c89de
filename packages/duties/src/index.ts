export * from './holding.js';
export type * from './holding-state.js';
export * from './instant.js';
export * from './clock-offset.js';
export * from './scaling.js';
export * from './usage-report.js';
export * from './usage-windows.js';
