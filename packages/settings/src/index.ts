export * from './read-settings.js';
