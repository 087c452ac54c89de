export * from './naive-configuration.js';
