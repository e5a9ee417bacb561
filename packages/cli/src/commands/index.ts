export * from './drain.js';
export * from './publish.js';
