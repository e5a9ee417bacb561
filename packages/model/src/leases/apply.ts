import {
	getIdle, type EngineState, type HostName, type HostState, type LateWrite, type Lease, type LeaseEvent, type LeaseFault, type LeaseState, type LeaseVariant, type Order, type ReplyKind,
} from './state.js';

const setHost = (state: LeaseState, host: HostName, change: Partial<HostState>): LeaseState =>
	({...state, hosts: {...state.hosts, [host]: {...state.hosts[host], ...change}}});

const setLease = (state: LeaseState, index: number, change: Partial<Lease>): LeaseState =>
	({...state, leases: state.leases.map((lease, at) => at === index ? {...lease, ...change} : lease)});

const useFault = (state: LeaseState): LeaseState => ({...state, faultsLeft: state.faultsLeft - 1});

const without = <Item>(items: Item[], index: number): Item[] => items.filter((_, at) => at !== index);

/** Takes a lease as ended at its host. */
const disbelieve = (state: LeaseState, host: HostName): LeaseState => setLease(state, state.hosts[host].lease, {isBelieved: false});

const giveUp = (state: LeaseState, host: HostName): LeaseState => setHost(disbelieve(state, host), host, {phase: 'ending'});

const writeAt = (state: LeaseState, write: LateWrite): {state: LeaseState; isApplied: boolean} => {
	switch (write.kind) {
		case 'holder': {
			const isApplied = state.holder === -1 && (state.leases[write.lease]?.isAlive ?? false);
			const turns = state.turns + 1;
			return {isApplied, state: isApplied ? {...setLease(state, write.lease, {turn: turns}), holder: write.lease, turns} : state};
		}

		case 'fencing': {
			const isApplied = state.fencing === write.expected;
			return {isApplied, state: isApplied ? {...state, fencing: write.expected + 1} : state};
		}
	}
};

type Write = {host: HostName; write: LateWrite; reply: ReplyKind; onApplied: (state: LeaseState) => LeaseState; fault: LeaseFault | undefined};

const applyWrite = (state: LeaseState, {host, write, reply, onApplied, fault}: Write): LeaseState => {
	const onUnknown = (next: LeaseState): LeaseState =>
		useFault(fault === 'unknown-is-applied' ? onApplied(next) : giveUp(next, host));
	switch (reply) {
		case 'arrives': {
			const written = writeAt(state, write);
			return written.isApplied ? onApplied(written.state) : giveUp(written.state, host);
		}

		case 'lost-applied': {
			return onUnknown(writeAt(state, write).state);
		}

		case 'lost-late': {
			return onUnknown({...state, late: [...state.late, write]});
		}

		case 'lost-dropped': {
			return onUnknown(state);
		}
	}
};

const applyGrant = (state: LeaseState, host: HostName): LeaseState => {
	const lease: Lease = {
		host, isAlive: true, isBelieved: true, turn: 0, number: 0,
	};
	const next = {...state, leases: [...state.leases, lease]};
	return setHost(next, host, {phase: 'granted', lease: state.leases.length});
};

const applyRaise = (state: LeaseState, {host, reply}: {host: HostName; reply: ReplyKind}, fault?: LeaseFault): LeaseState => {
	const {read, lease} = state.hosts[host];
	const number = read + 1;
	const onApplied = (next: LeaseState): LeaseState =>
		setLease(setHost(next, host, {phase: 'held', number}), lease, {number});
	return fault === 'number-not-raised'
		? onApplied(state)
		: applyWrite(state, {
			host, write: {kind: 'fencing', expected: read}, reply, onApplied, fault,
		});
};

const endLease = (state: LeaseState, lease: number): LeaseState =>
	({...setLease(state, lease, {isAlive: false}), holder: state.holder === lease ? -1 : state.holder});

const applyEnd = (state: LeaseState, {host, isLost}: {host: HostName; isLost: boolean}): LeaseState => {
	const {lease, cleared} = state.hosts[host];
	const ended = isLost ? useFault(state) : endLease(state, lease);
	return setHost(ended, host, getIdle(cleared));
};

const applyExpire = (state: LeaseState, host: HostName, fault?: LeaseFault): LeaseState => {
	const expired = disbelieve(state, host);
	const {phase, cleared} = state.hosts[host];
	return phase === 'held' && fault !== 'no-validity-check' ? setHost(expired, host, getIdle(cleared)) : expired;
};

const carryOut = (engine: EngineState, order: Order, leases: Lease[], isRefused: boolean): EngineState => {
	if (isRefused || engine.done.includes(order.lease)) {
		return engine;
	}

	const getTurn = (lease: number): number => leases[lease]?.turn ?? 0;
	return {
		highest: Math.max(engine.highest, order.number),
		done: [...engine.done, order.lease],
		hasRegressed: engine.hasRegressed || engine.done.some(lease => getTurn(lease) > getTurn(order.lease)),
	};
};

const applyDeliver = (state: LeaseState, {index, isRepeated}: {index: number; isRepeated: boolean}, {fencing, fault}: LeaseVariant): LeaseState => {
	const order = state.orders[index];
	if (order === undefined) {
		return state;
	}

	const {engine} = state;
	const isRefused = fencing === 'checked' && fault !== 'no-engine-check' && order.number < engine.highest;
	const next = {...state, engine: carryOut(engine, order, state.leases, isRefused)};
	return isRepeated ? useFault(next) : {...next, orders: without(state.orders, index)};
};

const applySend = (state: LeaseState, host: HostName, index: number): LeaseState => {
	const {cleared} = state.hosts[host];
	const order = cleared[index];
	return order === undefined ? state : {...setHost(state, host, {cleared: without(cleared, index)}), orders: [...state.orders, order]};
};

const applyLate = (state: LeaseState, index: number): LeaseState => {
	const write = state.late[index];
	return write === undefined ? state : {...writeAt(state, write).state, late: without(state.late, index)};
};

/** Applies an event to a state in which it may happen. */
export const applyLeaseEvent = (state: LeaseState, event: LeaseEvent, variant: LeaseVariant): LeaseState => {
	const {fault} = variant;
	switch (event.type) {
		case 'read': {
			return setHost(state, event.host, {phase: 'read', read: state.fencing});
		}

		case 'grant': {
			return applyGrant(state, event.host);
		}

		case 'take': {
			const {host, reply} = event;
			return applyWrite(state, {
				host, reply, fault, write: {kind: 'holder', lease: state.hosts[host].lease}, onApplied: next => setHost(next, host, {phase: 'holding'}),
			});
		}

		case 'raise': {
			return applyRaise(state, event, fault);
		}

		case 'end': {
			return applyEnd(state, event);
		}

		case 'expire': {
			return applyExpire(state, event.host, fault);
		}

		case 'crash': {
			return useFault(setHost(disbelieve(state, event.host), event.host, getIdle()));
		}

		case 'lapse': {
			return endLease(state, event.lease);
		}

		case 'late': {
			return applyLate(state, event.index);
		}

		case 'wait': {
			return setHost(state, event.host, {hasWaited: true});
		}

		case 'check': {
			const {host} = event;
			const {cleared, lease, number} = state.hosts[host];
			return setHost(state, host, {cleared: [...cleared, {lease, number}]});
		}

		case 'send': {
			return applySend(state, event.host, event.index);
		}

		case 'deliver': {
			return applyDeliver(state, event, variant);
		}

		case 'lose': {
			return useFault({...state, orders: without(state.orders, event.index)});
		}
	}
};
