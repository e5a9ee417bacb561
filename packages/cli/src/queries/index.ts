export * from './check.js';
export * from './configuration.js';
export * from './fleet.js';
