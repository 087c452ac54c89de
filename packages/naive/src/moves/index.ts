export * from './linear-share.js';
