export { originOf } from './exchange.js';
export type { Exchange, UpstreamAddress } from './exchange.js';
export type { GenerationListener } from './generation-stream.js';
export * from './stream-lines.js';
export * from './upstream-client.js';
