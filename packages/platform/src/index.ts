export * from './memory-key-value.js';
