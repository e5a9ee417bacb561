import {
	hosts, replies, type HostName, type LeaseEvent, type LeaseState, type LeaseVariant,
} from './state.js';

const isLeaseValid = (state: LeaseState, host: HostName): boolean =>
	state.leases[state.hosts[host].lease]?.isValidForHolder ?? false;

const getReplies = (state: LeaseState) => replies.filter(reply => reply === 'arrives' || state.remainingFaults > 0);

/** Whether a host's first step is skipped, since the hosts are interchangeable and it is enough to let the first one begin. */
const isRedundantBySymmetry = (state: LeaseState, host: HostName): boolean =>
	host !== hosts[0] && state.leases.length === 0 && hosts.every(name => state.hosts[name].phase === 'idle');

const getPhaseEvents = (state: LeaseState, host: HostName, {maxLeases}: LeaseVariant): LeaseEvent[] => {
	switch (state.hosts[host].phase) {
		case 'idle': {
			const isFree = state.holder === -1 && state.leases.length < maxLeases;
			return isFree && !isRedundantBySymmetry(state, host) ? [{type: 'read', host}] : [];
		}

		case 'read': {
			return state.leases.length < maxLeases ? [{type: 'grant', host}] : [];
		}

		case 'granted': {
			return getReplies(state).map(reply => ({type: 'take', host, reply}));
		}

		case 'holding': {
			return getReplies(state).map(reply => ({type: 'raise', host, reply}));
		}

		case 'held': {
			return [];
		}

		case 'ending': {
			return [{type: 'end', host, isLost: false}, ...(state.remainingFaults > 0 ? [{type: 'end' as const, host, isLost: true}] : [])];
		}
	}
};

/** Whether an order of another term can still reach the engine. */
const hasEarlierOrder = (state: LeaseState, host: HostName): boolean => {
	const {lease} = state.hosts[host];
	const approvedOrders = hosts.flatMap(name => state.hosts[name].approvedOrders);
	return [...state.ordersInFlight, ...approvedOrders].some(order => order.lease !== lease);
};

const hasOrder = (state: LeaseState, lease: number): boolean => {
	const known = [...state.ordersInFlight, ...hosts.flatMap(name => state.hosts[name].approvedOrders)];
	return known.some(order => order.lease === lease) || state.engine.executedLeases.includes(lease);
};

/** Whether the check of a host allows it to send an order. */
export const isOrderAllowed = (state: LeaseState, host: HostName, {fencing, fault}: LeaseVariant): boolean => {
	const {phase, hasWaited} = state.hosts[host];
	const isHeld = phase === 'held' && (isLeaseValid(state, host) || fault === 'no-validity-check');
	return isHeld && (fencing === 'checked' || hasWaited || fault === 'no-wait');
};

const getOrderEvents = (state: LeaseState, host: HostName, variant: LeaseVariant): LeaseEvent[] => {
	const {phase, hasWaited, lease, approvedOrders} = state.hosts[host];
	const events: LeaseEvent[] = approvedOrders.map((_, index) => ({type: 'send', host, index}));
	if (phase !== 'held') {
		return events;
	}

	if (variant.fencing === 'ignored' && !hasWaited && isLeaseValid(state, host) && !hasEarlierOrder(state, host)) {
		events.push({type: 'wait', host});
	}

	if (isOrderAllowed(state, host, variant) && !hasOrder(state, lease)) {
		events.push({type: 'check', host});
	}

	return events;
};

const getFaultEvents = (state: LeaseState, host: HostName): LeaseEvent[] => {
	const {phase} = state.hosts[host];
	const events: LeaseEvent[] = isLeaseValid(state, host) ? [{type: 'expire', host}] : [];
	return phase === 'idle' || state.remainingFaults === 0 ? events : [...events, {type: 'crash', host}];
};

/** Returns the expiries of leases at the service. A lease ends there only after its holder regards it as ended, since the holder counts a shorter time from an earlier start. */
const getLapseEvents = (state: LeaseState, {fault}: LeaseVariant): LeaseEvent[] => state.leases
	.map((lease, index) => ({lease, index}))
	.filter(({lease}) => lease.isAlive && (!lease.isValidForHolder || fault === 'early-lapse'))
	.map(({index}) => ({type: 'lapse', lease: index}));

const getNetworkEvents = (state: LeaseState): LeaseEvent[] => state.ordersInFlight.flatMap((_, index): LeaseEvent[] => {
	const events: LeaseEvent[] = [{type: 'deliver', index, isRepeated: false}];
	return state.remainingFaults === 0 ? events : [...events, {type: 'deliver', index, isRepeated: true}, {type: 'lose', index}];
});

/** Returns the events that may happen in a state. */
export const getLeaseEvents = (state: LeaseState, variant: LeaseVariant): LeaseEvent[] => [
	...hosts.flatMap(host => [
		...getPhaseEvents(state, host, variant), ...getOrderEvents(state, host, variant), ...getFaultEvents(state, host),
	]),
	...getLapseEvents(state, variant),
	...state.lateWrites.map((_, index): LeaseEvent => ({type: 'late', index})),
	...getNetworkEvents(state),
];
