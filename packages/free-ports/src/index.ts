export * from './find-free-port.js';
