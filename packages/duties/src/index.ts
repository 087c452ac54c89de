export * from './scaling.js';
