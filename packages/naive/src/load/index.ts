export * from './least-connections.js';
