export * from './engine.js';
export * from './options.js';
export * from './answer.js';
export * from './orders.js';
export type {GenerationCounts} from './generations.js';
