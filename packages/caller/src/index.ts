export { hashSecret } from './authenticate.js';
export * from './caller-server.js';
export type * from './caller-api.js';
export * from './caller-client.js';
export type * from './client-call.js';
export type * from './client-request.js';
export type * from './client-stream.js';
