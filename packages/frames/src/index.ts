export { encodeFrame, FrameReader, maxFrameBytes } from './frame-codec.js';
export * from './frame-connection.js';
export * from './message-parts.js';
