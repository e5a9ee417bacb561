export * from './listener.js';
export * from './faults.js';
export * from './engine/index.js';
export * from './service.js';
export * from './key-value/index.js';
export * from './host-list.js';
export * from './weight-store.js';
