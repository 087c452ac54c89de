export * from './issue-order.js';
export * from './order.js';
export * from './order-lease.js';
export * from './weight-permit.js';
export * from './with-weight-permit.js';
