import type {Invariant, Specification} from '../specification.js';
import {applyHostEvent, dropObsoleteHostState, getHostEvents} from './hosts.js';
import {applyOperatorEvent, dropObsoleteWrites, getOperatorEvents} from './operators.js';
import {
	createInitialState, type DistributionBounds, type DistributionEvent, type DistributionFault, type DistributionState,
} from './state.js';

const maxStates = 100_000;

/** Invariants of accepting and distributing configuration versions. */
export const distributionInvariants: Array<Invariant<DistributionState>> = [
	{
		name: 'accepted versions form one order',
		holds: ({accepted}) => accepted.every(({version}, index) => version === index + 1),
	},
	{
		name: 'a publication is accepted at most once',
		holds: ({accepted}) => new Set(accepted.map(({token}) => token)).size === accepted.length,
	},
	{
		name: 'what an operator is told was accepted was accepted',
		holds: ({operators, accepted}) => operators.every(({phase, token}) => phase !== 'applied' || accepted.some(item => item.token === token)),
	},
	{
		name: 'what an operator is told was not accepted never is',
		holds: ({operators, accepted}) => operators.every(({phase, token}) =>
			(phase !== 'conflict' && phase !== 'unavailable') || accepted.every(item => item.token !== token)),
	},
	{
		name: 'a host has only accepted versions in force',
		holds: ({hosts, accepted}) => hosts.every(({version}) => version <= accepted.length),
	},
	{
		name: 'a host never goes back',
		holds: ({hosts}) => hosts.every(({violation}) => violation !== 'went-back'),
	},
	{
		name: 'a host never starts below a version that it was told of',
		holds: ({hosts}) => hosts.every(({violation}) => violation !== 'started-below'),
	},
	{
		name: 'a confirmed version was the newest at that moment',
		holds: ({hosts}) => hosts.every(({version, confirmedAt}) => version >= confirmedAt),
	},
];

const getEvents = (state: DistributionState, bounds: DistributionBounds): DistributionEvent[] => {
	const changes: DistributionEvent[] = state.service.isDown ? [{type: 'recovery'}] : [];
	if (!state.service.isDown && state.remainingOutages > 0) {
		changes.push({type: 'outage'});
	}

	if (!state.service.isDown && state.remainingAcceptances > 0) {
		changes.push({type: 'accept'});
	}

	return [...changes, ...getOperatorEvents(state, bounds), ...getHostEvents(state, bounds)];
};

const applyAcceptance = (state: DistributionState): DistributionState => {
	const {service, accepted, remainingAcceptances} = state;
	const added = {version: service.version + 1, token: `other-${remainingAcceptances}`};
	return {
		...state, service: {...service, ...added, revision: service.revision + 1}, accepted: [...accepted, added], remainingAcceptances: remainingAcceptances - 1,
	};
};

const apply = (state: DistributionState, event: DistributionEvent, bounds: DistributionBounds, fault?: DistributionFault): DistributionState => {
	if (event.type === 'outage' || event.type === 'recovery') {
		const isDown = event.type === 'outage';
		return {...state, service: {...state.service, isDown}, remainingOutages: state.remainingOutages - (isDown ? 1 : 0)};
	}

	if (event.type === 'accept') {
		return applyAcceptance(state);
	}

	return 'operator' in event ? applyOperatorEvent(state, event, bounds, fault) : applyHostEvent(state, event, bounds, fault);
};

/** Creates the specification of how configuration versions are accepted and distributed, with a fault in it if one is given. */
export const createDistributionSpecification = (bounds: DistributionBounds, fault?: DistributionFault): Specification<DistributionState, DistributionEvent> => ({
	initial: createInitialState(bounds),
	getEvents: state => getEvents(state, bounds),
	apply(state, event) {
		const next = apply(state, event, bounds, fault);
		return dropObsoleteHostState(fault === 'ignores-revision' ? next : dropObsoleteWrites(next));
	},
	invariants: distributionInvariants,
	maxStates,
});
