export * from './crash-detector.js';
export * from './forward.js';
export type * from './protocol.js';
export * from './serve-callers.js';
export * from './stop-host.js';
export type * from './context.js';
export * from './upstream-tracker.js';
export * from './listen.js';
export * from './start-host.js';
