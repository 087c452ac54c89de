export * from './pending-bytes.js';
