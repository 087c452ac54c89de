export * from './counters.js';
export * from './logger.js';
