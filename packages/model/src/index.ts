export {checks} from './checks.js';
export {explore, getGraph, type Graph} from './explore.js';
export type * from './specification.js';
