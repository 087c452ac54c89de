export * from './clock.js';
export * from './hybrid-clock.js';
export * from './random.js';
export * from './virtual-clock.js';
