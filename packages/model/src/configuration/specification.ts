import type {Invariant, Specification} from '../specification.js';
import {applyHostEvent, dropOldNews, getHostEvents} from './hosts.js';
import {applyOperatorEvent, dropLostWrites, getOperatorEvents} from './operators.js';
import {
	createInitial, type SpreadBounds, type SpreadEvent, type SpreadFault, type SpreadState,
} from './state.js';

const stateLimit = 100_000;

/** What is promised of the configuration. */
export const spreadInvariants: Array<Invariant<SpreadState>> = [
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
		holds: ({hosts}) => hosts.every(({fault}) => fault !== 'went-back'),
	},
	{
		name: 'a host never starts below a version that it was told of',
		holds: ({hosts}) => hosts.every(({fault}) => fault !== 'started-below'),
	},
	{
		name: 'a confirmed version was the newest at that moment',
		holds: ({hosts}) => hosts.every(({version, confirmedAt}) => version >= confirmedAt),
	},
];

const getEvents = (state: SpreadState, bounds: SpreadBounds): SpreadEvent[] => {
	const changes: SpreadEvent[] = state.service.isDown ? [{type: 'recovery'}] : [];
	if (!state.service.isDown && state.outages > 0) {
		changes.push({type: 'outage'});
	}

	if (!state.service.isDown && state.acceptances > 0) {
		changes.push({type: 'accept'});
	}

	return [...changes, ...getOperatorEvents(state, bounds), ...getHostEvents(state, bounds)];
};

const applyAcceptance = (state: SpreadState): SpreadState => {
	const {service, accepted, acceptances} = state;
	const added = {version: service.version + 1, token: `other-${acceptances}`};
	return {
		...state, service: {...service, ...added, revision: service.revision + 1}, accepted: [...accepted, added], acceptances: acceptances - 1,
	};
};

const apply = (state: SpreadState, event: SpreadEvent, bounds: SpreadBounds, fault?: SpreadFault): SpreadState => {
	if (event.type === 'outage' || event.type === 'recovery') {
		const isDown = event.type === 'outage';
		return {...state, service: {...state.service, isDown}, outages: state.outages - (isDown ? 1 : 0)};
	}

	if (event.type === 'accept') {
		return applyAcceptance(state);
	}

	return 'operator' in event ? applyOperatorEvent(state, event, bounds, fault) : applyHostEvent(state, event, bounds, fault);
};

/** Creates the specification of how a configuration is accepted and spreads, with a fault in it if wanted. */
export const createSpreadSpecification = (bounds: SpreadBounds, fault?: SpreadFault): Specification<SpreadState, SpreadEvent> => ({
	initial: createInitial(bounds),
	getEvents: state => getEvents(state, bounds),
	apply(state, event) {
		const next = apply(state, event, bounds, fault);
		return dropOldNews(fault === 'ignores-revision' ? next : dropLostWrites(next));
	},
	invariants: spreadInvariants,
	maxStates: stateLimit,
});
