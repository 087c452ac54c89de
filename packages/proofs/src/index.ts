export * from './load-proofs.js';
export * from './proof.js';
export * from './processes/index.js';
