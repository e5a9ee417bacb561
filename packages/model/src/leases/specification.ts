import type {Specification} from '../specification.js';
import {applyLeaseEvent} from './apply.js';
import {getLeaseEvents} from './events.js';
import {
	createInitialState, hosts, type LeaseEvent, type LeaseState, type LeaseVariant,
} from './state.js';

/** Names of the invariants. */
export const leaseInvariants = {
	unique: 'each term has a fencing number of its own',
	rising: 'a later holder has the higher fencing number',
	ordered: 'the engine carries out no earlier holder\'s order after a later holder\'s',
	single: 'two hosts never hold the lease at once',
} as const;

const getTerms = ({leases}: LeaseState) => leases.filter(({fencingNumber}) => fencingNumber > 0);

const areFencingNumbersRising = (state: LeaseState): boolean => {
	const terms = getTerms(state).toSorted((left, right) => left.acquisitionNumber - right.acquisitionNumber);
	return terms.every(({fencingNumber}, index) => index === 0 || fencingNumber > (terms[index - 1]?.fencingNumber ?? 0));
};

const countHolders = (state: LeaseState): number => hosts.filter(host => {
	const {phase, lease} = state.hosts[host];
	return phase === 'held' && (state.leases[lease]?.isValidForHolder ?? false);
}).length;

const maxStates = 3_000_000;

/** Creates the specification of leases with fencing, for one kind of engine, with a fault in it if the variant names one. */
export const createLeaseSpecification = (variant: LeaseVariant): Specification<LeaseState, LeaseEvent> => ({
	initial: createInitialState(variant.maxFaults),
	getEvents: state => getLeaseEvents(state, variant),
	apply: (state, event) => applyLeaseEvent(state, event, variant),
	maxStates,
	invariants: [
		{name: leaseInvariants.unique, holds: state => new Set(getTerms(state).map(({fencingNumber}) => fencingNumber)).size === getTerms(state).length},
		{name: leaseInvariants.rising, holds: areFencingNumbersRising},
		{name: leaseInvariants.ordered, holds: state => !state.engine.hasExecutedOutOfOrder},
		{name: leaseInvariants.single, holds: state => countHolders(state) < 2},
	],
});
