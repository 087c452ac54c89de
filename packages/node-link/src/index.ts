export * from './message-schema.js';
export * from './node-link.js';
export * from './fake-network.js';
export * from './wire-format.js';
