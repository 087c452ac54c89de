export * from './apply-changes.js';
export * from './change-schema.js';
export * from './commit.js';
export * from './head.js';
export * from './plan-changes.js';
export * from './read-stored.js';
