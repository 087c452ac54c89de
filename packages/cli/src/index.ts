export * from './exit-codes.js';
