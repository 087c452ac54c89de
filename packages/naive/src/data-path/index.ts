export * from './naive-call.js';
export * from './naive-caller.js';
export * from './naive-entry.js';
export * from './naive-relay.js';
export type { NaiveUpstream } from './naive-upstreams.js';
