export * from './key-value-store.js';
export * from './platform-server.js';
export type { PlatformStandInSettings } from './settings.js';
export { settingsSchema as platformStandInSettingsSchema } from './settings.js';
