export type { MoveEvent } from './move-events.js';
export type { WriteResult } from './operations.js';
export * from './operator-client.js';
export * from './operator-server.js';
export * from './operator-settings.js';
export {
  type ConfigurationSnapshot as AgedConfiguration,
  isSectionName,
  type SectionName,
  sections,
  type Write,
} from './wire.js';
