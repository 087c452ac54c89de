export * from './engine-model-settings.js';
export * from './engine-model.js';
export * from './engine-server.js';
export { tokenText as textOf } from './generation-store.js';
export type { EngineLoad } from './load-history.js';
export * from './prefix-cache.js';
export type { EngineStandInSettings } from './settings.js';
export { engineStandInSettingsSchema } from './settings.js';
