export * from './json-server.js';
export * from './service-server.js';
