import {
	createIdleHost, type EngineState, type HostName, type HostState, type LateWrite, type Lease, type LeaseEvent, type LeaseFault, type LeaseState, type LeaseVariant, type Order, type ReplyKind,
} from './state.js';

const updateHost = (state: LeaseState, host: HostName, change: Partial<HostState>): LeaseState =>
	({...state, hosts: {...state.hosts, [host]: {...state.hosts[host], ...change}}});

const updateLease = (state: LeaseState, index: number, change: Partial<Lease>): LeaseState =>
	({...state, leases: state.leases.map((lease, position) => position === index ? {...lease, ...change} : lease)});

const consumeFault = (state: LeaseState): LeaseState => ({...state, remainingFaults: state.remainingFaults - 1});

const removeAt = <Item>(items: Item[], index: number): Item[] => items.filter((_, position) => position !== index);

/** Marks the lease of a host as ended in the host's own view. */
const invalidateForHolder = (state: LeaseState, host: HostName): LeaseState => updateLease(state, state.hosts[host].lease, {isValidForHolder: false});

const abandonLease = (state: LeaseState, host: HostName): LeaseState => updateHost(invalidateForHolder(state, host), host, {phase: 'ending'});

const applyToService = (state: LeaseState, write: LateWrite): {state: LeaseState; isApplied: boolean} => {
	switch (write.kind) {
		case 'holder': {
			const isApplied = state.holder === -1 && (state.leases[write.lease]?.isAlive ?? false);
			const acquisitions = state.acquisitions + 1;
			return {isApplied, state: isApplied ? {...updateLease(state, write.lease, {acquisitionNumber: acquisitions}), holder: write.lease, acquisitions} : state};
		}

		case 'fencing': {
			const isApplied = state.fencingNumber === write.expected;
			return {isApplied, state: isApplied ? {...state, fencingNumber: write.expected + 1} : state};
		}
	}
};

type WriteAttempt = {host: HostName; write: LateWrite; reply: ReplyKind; onApplied: (state: LeaseState) => LeaseState; fault: LeaseFault | undefined};

const applyWrite = (state: LeaseState, {host, write, reply, onApplied, fault}: WriteAttempt): LeaseState => {
	const onUnknown = (next: LeaseState): LeaseState =>
		consumeFault(fault === 'unknown-is-applied' ? onApplied(next) : abandonLease(next, host));
	switch (reply) {
		case 'arrives': {
			const written = applyToService(state, write);
			return written.isApplied ? onApplied(written.state) : abandonLease(written.state, host);
		}

		case 'lost-applied': {
			return onUnknown(applyToService(state, write).state);
		}

		case 'lost-late': {
			return onUnknown({...state, lateWrites: [...state.lateWrites, write]});
		}

		case 'lost-dropped': {
			return onUnknown(state);
		}
	}
};

const applyGrant = (state: LeaseState, host: HostName): LeaseState => {
	const lease: Lease = {
		host, isAlive: true, isValidForHolder: true, acquisitionNumber: 0, fencingNumber: 0,
	};
	const next = {...state, leases: [...state.leases, lease]};
	return updateHost(next, host, {phase: 'granted', lease: state.leases.length});
};

const applyRaise = (state: LeaseState, {host, reply}: {host: HostName; reply: ReplyKind}, fault?: LeaseFault): LeaseState => {
	const {readFencingNumber, lease} = state.hosts[host];
	const fencingNumber = readFencingNumber + 1;
	const onApplied = (next: LeaseState): LeaseState =>
		updateLease(updateHost(next, host, {phase: 'held', fencingNumber}), lease, {fencingNumber});
	return fault === 'number-not-raised'
		? onApplied(state)
		: applyWrite(state, {
			host, write: {kind: 'fencing', expected: readFencingNumber}, reply, onApplied, fault,
		});
};

const endLease = (state: LeaseState, lease: number): LeaseState =>
	({...updateLease(state, lease, {isAlive: false}), holder: state.holder === lease ? -1 : state.holder});

const applyEnd = (state: LeaseState, {host, isLost}: {host: HostName; isLost: boolean}): LeaseState => {
	const {lease, approvedOrders} = state.hosts[host];
	const ended = isLost ? consumeFault(state) : endLease(state, lease);
	return updateHost(ended, host, createIdleHost(approvedOrders));
};

const applyExpire = (state: LeaseState, host: HostName, fault?: LeaseFault): LeaseState => {
	const expired = invalidateForHolder(state, host);
	const {phase, approvedOrders} = state.hosts[host];
	return phase === 'held' && fault !== 'no-validity-check' ? updateHost(expired, host, createIdleHost(approvedOrders)) : expired;
};

const executeOrder = (engine: EngineState, order: Order, leases: Lease[], isRefused: boolean): EngineState => {
	if (isRefused || engine.executedLeases.includes(order.lease)) {
		return engine;
	}

	const getAcquisitionNumber = (lease: number): number => leases[lease]?.acquisitionNumber ?? 0;
	return {
		highestFencingNumber: Math.max(engine.highestFencingNumber, order.fencingNumber),
		executedLeases: [...engine.executedLeases, order.lease],
		hasExecutedOutOfOrder: engine.hasExecutedOutOfOrder || engine.executedLeases.some(lease => getAcquisitionNumber(lease) > getAcquisitionNumber(order.lease)),
	};
};

const applyDeliver = (state: LeaseState, {index, isRepeated}: {index: number; isRepeated: boolean}, {fencing, fault}: LeaseVariant): LeaseState => {
	const order = state.ordersInFlight[index];
	if (order === undefined) {
		return state;
	}

	const {engine} = state;
	const isRefused = fencing === 'checked' && fault !== 'no-engine-check' && order.fencingNumber < engine.highestFencingNumber;
	const next = {...state, engine: executeOrder(engine, order, state.leases, isRefused)};
	return isRepeated ? consumeFault(next) : {...next, ordersInFlight: removeAt(state.ordersInFlight, index)};
};

const applySend = (state: LeaseState, host: HostName, index: number): LeaseState => {
	const {approvedOrders} = state.hosts[host];
	const order = approvedOrders[index];
	return order === undefined ? state : {...updateHost(state, host, {approvedOrders: removeAt(approvedOrders, index)}), ordersInFlight: [...state.ordersInFlight, order]};
};

const applyLate = (state: LeaseState, index: number): LeaseState => {
	const write = state.lateWrites[index];
	return write === undefined ? state : {...applyToService(state, write).state, lateWrites: removeAt(state.lateWrites, index)};
};

/** Applies an event to a state in which it may happen; `getLeaseEvents` returns these events. */
export const applyLeaseEvent = (state: LeaseState, event: LeaseEvent, variant: LeaseVariant): LeaseState => {
	const {fault} = variant;
	switch (event.type) {
		case 'read': {
			return updateHost(state, event.host, {phase: 'read', readFencingNumber: state.fencingNumber});
		}

		case 'grant': {
			return applyGrant(state, event.host);
		}

		case 'take': {
			const {host, reply} = event;
			return applyWrite(state, {
				host, reply, fault, write: {kind: 'holder', lease: state.hosts[host].lease}, onApplied: next => updateHost(next, host, {phase: 'holding'}),
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
			return consumeFault(updateHost(invalidateForHolder(state, event.host), event.host, createIdleHost()));
		}

		case 'lapse': {
			return endLease(state, event.lease);
		}

		case 'late': {
			return applyLate(state, event.index);
		}

		case 'wait': {
			return updateHost(state, event.host, {hasWaited: true});
		}

		case 'check': {
			const {host} = event;
			const {approvedOrders, lease, fencingNumber} = state.hosts[host];
			return updateHost(state, host, {approvedOrders: [...approvedOrders, {lease, fencingNumber}]});
		}

		case 'send': {
			return applySend(state, event.host, event.index);
		}

		case 'deliver': {
			return applyDeliver(state, event, variant);
		}

		case 'lose': {
			return consumeFault({...state, ordersInFlight: removeAt(state.ordersInFlight, event.index)});
		}
	}
};
