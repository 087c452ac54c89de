export * from './configuration.js';
export type * from './error-kind.js';
export type * from './ids.js';
export type * from './load.js';
export type * from './member.js';
export * from './move-evidence.js';
export type * from './node-message.js';
export type * from './node-view.js';
export type * from './timeline-event.js';
