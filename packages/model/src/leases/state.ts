import type {Fencing} from '@gentianlift/types';

/** Names of the hosts that compete for the lease. */
export const hosts = ['a', 'b'] as const;
/** One of `hosts`. */
export type HostName = typeof hosts[number];

/** Phase of a host on its way to holding the lease; in `ending` it still has to end a lease that it gave up. */
export type Phase = 'idle' | 'read' | 'granted' | 'holding' | 'held' | 'ending';

/** State that a host keeps. */
export type HostState = {
	phase: Phase;
	/** Fencing number that the host read from the service. */
	readFencingNumber: number;
	/** Index of the host's lease; -1 for none. */
	lease: number;
	/** Fencing number of the host's term; 0 for none. */
	fencingNumber: number;
	/** Whether the host has waited until no order of an earlier term can still arrive. */
	hasWaited: boolean;
	/** Orders that the check allowed and that aren't sent yet, as when the process pauses between check and send. */
	approvedOrders: Order[];
};

/** Order to the engine, with the index of the lease under which it was issued. */
export type Order = {lease: number; fencingNumber: number};

/** Lease at the service. `acquisitionNumber` is the position in the sequence of leases that acquired the holder entry; 0 for a lease that never did. */
export type Lease = {host: HostName; isAlive: boolean; isValidForHolder: boolean; acquisitionNumber: number; fencingNumber: number};

/** Write whose reply was lost and that takes effect later if its condition still holds. */
export type LateWrite = {kind: 'holder'; lease: number} | {kind: 'fencing'; expected: number};

/** State of the engine that executes the orders. */
export type EngineState = {
	highestFencingNumber: number;
	/** Leases under which the executed orders were issued, in order of execution. */
	executedLeases: number[];
	/** True once the engine has executed an order of an earlier holder after one of a later holder. */
	hasExecutedOutOfOrder: boolean;
};

/** State of the key-value service, the hosts, the network and the engine. */
export type LeaseState = {
	hosts: Record<HostName, HostState>;
	leases: Lease[];
	/** Index of the lease that holds the holder entry; -1 for none. */
	holder: number;
	fencingNumber: number;
	acquisitions: number;
	lateWrites: LateWrite[];
	/** Orders in flight to the engine. */
	ordersInFlight: Order[];
	engine: EngineState;
	/** Number of faults that may still happen, which keeps the state space finite. */
	remainingFaults: number;
};

/** Outcomes of a write: its reply arrives, or is lost and the write takes effect now, later or never. */
export const replies = ['arrives', 'lost-applied', 'lost-late', 'lost-dropped'] as const;
/** One of `replies`. */
export type ReplyKind = typeof replies[number];

/**
Events of the hosts, the key-value service and the network. `take` writes the holder entry and `raise` the next fencing number;
`expire` ends a lease in its holder's view and `lapse` at the service; `late` is a late write that reaches the service; `check`
allows an order that `send` sends; `deliver` and `lose` are what the network does with an order.
*/
export type LeaseEvent
	= | {type: 'read'; host: HostName}
		| {type: 'grant'; host: HostName}
		| {type: 'take'; host: HostName; reply: ReplyKind}
		| {type: 'raise'; host: HostName; reply: ReplyKind}
		| {type: 'end'; host: HostName; isLost: boolean}
		| {type: 'expire'; host: HostName}
		| {type: 'crash'; host: HostName}
		| {type: 'lapse'; lease: number}
		| {type: 'late'; index: number}
		| {type: 'wait'; host: HostName}
		| {type: 'check'; host: HostName}
		| {type: 'send'; host: HostName; index: number}
		| {type: 'deliver'; index: number; isRepeated: boolean}
		| {type: 'lose'; index: number};

/** Faults put into the specification, to show that the invariants catch them. */
export const leaseFaults = ['no-wait', 'no-engine-check', 'no-validity-check', 'early-lapse', 'unknown-is-applied', 'number-not-raised'] as const;
/** One of `leaseFaults`. */
export type LeaseFault = typeof leaseFaults[number];

/** Variant of the specification to explore. */
export type LeaseVariant = {
	/** Whether the engine checks fencing numbers. */
	fencing: Fencing;
	fault?: LeaseFault;
	/** Number of leases that may be granted in all. */
	maxLeases: number;
	/** Number of crashes and of lost, late or repeated messages in one run. */
	maxFaults: number;
};

const idleHost: HostState = {
	phase: 'idle', readFencingNumber: 0, lease: -1, fencingNumber: 0, hasWaited: false, approvedOrders: [],
};

const initialEngine: EngineState = {highestFencingNumber: 0, executedLeases: [], hasExecutedOutOfOrder: false};

/** Creates the state of a host without a lease; orders that its check has allowed may still be sent. */
export const createIdleHost = (approvedOrders: Order[] = []): HostState => ({...idleHost, approvedOrders});

/** Creates the initial state. */
export const createInitialState = (maxFaults: number): LeaseState => ({
	hosts: {a: idleHost, b: idleHost},
	leases: [],
	holder: -1,
	fencingNumber: 0,
	acquisitions: 0,
	lateWrites: [],
	ordersInFlight: [],
	engine: initialEngine,
	remainingFaults: maxFaults,
});
