export {
	mechanisms, type Mechanism,
} from './state.js';
export * from './create-group-owner.js';
export type {GroupOwner, GroupOwnerOptions} from './group-owner.js';
export type {GroupOverview, RankOverview} from './queries/overview.js';
export {maxPreemptions} from './commands/preempt.js';
