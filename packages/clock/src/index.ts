export * from './clock.js';
export * from './elapsed-time.js';
export * from './manual-clock.js';
export * from './random.js';
export * from './recent-answers.js';
export * from './time-limit.js';
