export * from './ownership.js';
export * from './host-answer.js';
