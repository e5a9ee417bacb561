import {
	hosts, replies, type HostName, type LeaseEvent, type LeaseState, type LeaseVariant,
} from './state.js';

const isBelieved = (state: LeaseState, host: HostName): boolean =>
	state.leases[state.hosts[host].lease]?.isBelieved ?? false;

const getReplies = (state: LeaseState) => replies.filter(reply => reply === 'arrives' || state.faultsLeft > 0);

/** Whether a step is left out because the hosts are alike: the first step of all is the first host's. */
const isMirrored = (state: LeaseState, host: HostName): boolean =>
	host !== hosts[0] && state.leases.length === 0 && hosts.every(name => state.hosts[name].phase === 'idle');

const getPhaseEvents = (state: LeaseState, host: HostName, {leases}: LeaseVariant): LeaseEvent[] => {
	switch (state.hosts[host].phase) {
		case 'idle': {
			const isFree = state.holder === -1 && state.leases.length < leases;
			return isFree && !isMirrored(state, host) ? [{type: 'read', host}] : [];
		}

		case 'read': {
			return state.leases.length < leases ? [{type: 'grant', host}] : [];
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
			return [{type: 'end', host, isLost: false}, ...(state.faultsLeft > 0 ? [{type: 'end' as const, host, isLost: true}] : [])];
		}
	}
};

/** Whether an order of an earlier term can still arrive. */
const isEarlierUnderWay = (state: LeaseState, host: HostName): boolean => {
	const {lease} = state.hosts[host];
	const cleared = hosts.flatMap(name => state.hosts[name].cleared);
	return [...state.orders, ...cleared].some(order => order.lease !== lease);
};

const isOrdered = (state: LeaseState, lease: number): boolean => {
	const known = [...state.orders, ...hosts.flatMap(name => state.hosts[name].cleared)];
	return known.some(order => order.lease === lease) || state.engine.done.includes(lease);
};

/** Whether a host's check allows an order. */
export const isAllowed = (state: LeaseState, host: HostName, {fencing, fault}: LeaseVariant): boolean => {
	const {phase, hasWaited} = state.hosts[host];
	const isHeld = phase === 'held' && (isBelieved(state, host) || fault === 'no-validity-check');
	return isHeld && (fencing === 'checked' || hasWaited || fault === 'no-wait');
};

const getHeldEvents = (state: LeaseState, host: HostName, variant: LeaseVariant): LeaseEvent[] => {
	const {phase, hasWaited, lease, cleared} = state.hosts[host];
	const events: LeaseEvent[] = cleared.map((_, index) => ({type: 'send', host, index}));
	if (phase !== 'held') {
		return events;
	}

	if (variant.fencing === 'ignored' && !hasWaited && isBelieved(state, host) && !isEarlierUnderWay(state, host)) {
		events.push({type: 'wait', host});
	}

	if (isAllowed(state, host, variant) && !isOrdered(state, lease)) {
		events.push({type: 'check', host});
	}

	return events;
};

const getFaultEvents = (state: LeaseState, host: HostName): LeaseEvent[] => {
	const {phase} = state.hosts[host];
	const events: LeaseEvent[] = isBelieved(state, host) ? [{type: 'expire', host}] : [];
	return phase === 'idle' || state.faultsLeft === 0 ? events : [...events, {type: 'crash', host}];
};

/** The service ends a lease only after its holder takes it as ended: the holder counts from an earlier moment and less long. */
const getLapses = (state: LeaseState, {fault}: LeaseVariant): LeaseEvent[] => state.leases
	.map((lease, index) => ({lease, index}))
	.filter(({lease}) => lease.isAlive && (!lease.isBelieved || fault === 'early-lapse'))
	.map(({index}) => ({type: 'lapse', lease: index}));

const getNetworkEvents = (state: LeaseState): LeaseEvent[] => state.orders.flatMap((_, index): LeaseEvent[] => {
	const events: LeaseEvent[] = [{type: 'deliver', index, isRepeated: false}];
	return state.faultsLeft === 0 ? events : [...events, {type: 'deliver', index, isRepeated: true}, {type: 'lose', index}];
});

/** Gets the events that may happen in a state. */
export const getLeaseEvents = (state: LeaseState, variant: LeaseVariant): LeaseEvent[] => [
	...hosts.flatMap(host => [
		...getPhaseEvents(state, host, variant), ...getHeldEvents(state, host, variant), ...getFaultEvents(state, host),
	]),
	...getLapses(state, variant),
	...state.late.map((_, index): LeaseEvent => ({type: 'late', index})),
	...getNetworkEvents(state),
];
