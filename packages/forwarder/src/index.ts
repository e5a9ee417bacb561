export * from './crash-watch.js';
export * from './forward.js';
export type * from './protocol.js';
export * from './serve-callers.js';
export * from './stop-host.js';
export type * from './tools.js';
export * from './upstream-board.js';
export * from './listen.js';
export * from './start-host.js';
