export {checks} from './checks.js';
export {explore, exploreGraph, type StateGraph} from './explore.js';
export type * from './specification.js';
