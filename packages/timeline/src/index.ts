export * from './collector.js';
export * from './collector-settings.js';
export * from './event-buffer.js';
export * from './event-log.js';
export * from './event-sender.js';
export * from './follow-timeline.js';
export * from './timeline-message.js';
