export * from './call-simulation/index.js';
export * from './measurement.js';
export * from './summary.js';
export type { MoveRecord } from './version-moves/move-record.js';
export * from './version-moves/move-scenario.js';
export { runMove } from './version-moves/run-move.js';
export { runColdScenario, type ColdScenario } from './load-model/cold-scenario.js';
