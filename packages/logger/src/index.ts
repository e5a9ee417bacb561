export * from './logger.js';
export * from './format-line.js';
export * from './buffered-output.js';
