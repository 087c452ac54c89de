export type { MoveTime } from './coordinated-move.js';
export * from './evidence.js';
export * from './grant-shares.js';
export * from './judge-version.js';
export * from './move-node.js';
export * from './move-phase.js';
export * from './moves.js';
export * from './share-schedule.js';
export * from './version-pacer.js';
