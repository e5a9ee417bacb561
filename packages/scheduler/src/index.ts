export * from './owner/index.js';
export * from './client/index.js';
export * from './quota/index.js';
