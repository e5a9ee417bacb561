export * from './key-value.js';
export * from './store.js';
export * from './rate-limit.js';
