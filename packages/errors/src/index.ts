export * from './error-responses.js';
export * from './failure.js';
