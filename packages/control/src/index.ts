export * from './configuration-controller.js';
export * from './control.js';
export * from './control-fixture.js';
export type * from './control-dependencies.js';
export { upstreamOwnerships } from './credits-controller.js';
export * from './freezable-process.js';
export type * from './node-control.js';
export * from './vm-notices.js';
