import type {Specification} from '../specification.js';
import {applyLeaseEvent} from './apply.js';
import {getLeaseEvents} from './events.js';
import {
	getInitial, hosts, type LeaseEvent, type LeaseState, type LeaseVariant,
} from './state.js';

/** Names of the promises. */
export const leaseInvariants = {
	unique: 'each term has a fencing number of its own',
	rising: 'a later holder has the higher fencing number',
	ordered: 'the engine carries out no earlier holder\'s order after a later holder\'s',
	single: 'two hosts never hold the lease at once',
} as const;

const getTerms = ({leases}: LeaseState) => leases.filter(({number}) => number > 0);

const isRising = (state: LeaseState): boolean => {
	const terms = getTerms(state).toSorted((left, right) => left.turn - right.turn);
	return terms.every(({number}, index) => index === 0 || number > (terms[index - 1]?.number ?? 0));
};

const countHolders = (state: LeaseState): number => hosts.filter(host => {
	const {phase, lease} = state.hosts[host];
	return phase === 'held' && (state.leases[lease]?.isBelieved ?? false);
}).length;

const stateLimit = 3_000_000;

/** Creates the specification of leases with fencing, for one kind of engine, with a fault in it if named. */
export const createLeaseSpecification = (variant: LeaseVariant): Specification<LeaseState, LeaseEvent> => ({
	initial: getInitial(variant.faults),
	getEvents: state => getLeaseEvents(state, variant),
	apply: (state, event) => applyLeaseEvent(state, event, variant),
	maxStates: stateLimit,
	invariants: [
		{name: leaseInvariants.unique, holds: state => new Set(getTerms(state).map(({number}) => number)).size === getTerms(state).length},
		{name: leaseInvariants.rising, holds: isRising},
		{name: leaseInvariants.ordered, holds: state => !state.engine.hasRegressed},
		{name: leaseInvariants.single, holds: state => countHolders(state) < 2},
	],
});
