export * from './child.js';
export * from './fleet.js';
export * from './http.js';
export * from './tcp-proxy.js';
export * from './run-concurrently.js';
export * from './test-caller.js';
