export * from './crash-watch.js';
export * from './forward.js';
export * from './protocol.js';
export * from './serve-callers.js';
export * from './stop-host.js';
export * from './tools.js';
export * from './upstream-board.js';
