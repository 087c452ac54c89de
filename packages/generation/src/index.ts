export * from './relay.js';
export * from './resume-token.js';
