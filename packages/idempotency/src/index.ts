export * from './claim.js';
export * from './fingerprint.js';
export * from './record-table.js';
export * from './ticket.js';
