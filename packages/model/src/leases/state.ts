import type {Fencing} from '@gentianlift/types';

/** Names of the hosts that compete for the lease. */
export const hosts = ['a', 'b'] as const;
/** One of `hosts`. */
export type HostName = typeof hosts[number];

/** A host's steps to the lease; `ending` still has to end a lease that it gave up. */
export type Phase = 'idle' | 'read' | 'granted' | 'holding' | 'held' | 'ending';

/** What a host knows. */
export type HostState = {
	phase: Phase;
	/** Fencing number that it read. */
	read: number;
	/** Index of its lease; -1 for none. */
	lease: number;
	/** Fencing number of its term; 0 for none. */
	number: number;
	/** Whether orders of earlier terms have been waited out. */
	hasWaited: boolean;
	/** Orders that were allowed by the check and not yet sent, as after a pause in between. */
	cleared: Order[];
};

/** An order to the engine, with the lease under which it was given. */
export type Order = {lease: number; number: number};

/** A lease at the service. `turn` tells the order in which leases took the holder's entry; 0 for never. */
export type Lease = {host: HostName; isAlive: boolean; isBelieved: boolean; turn: number; number: number};

/** A write whose reply was lost and that takes effect later, if it still can. */
export type LateWrite = {kind: 'holder'; lease: number} | {kind: 'fencing'; expected: number};

/** What an engine has carried out. */
export type EngineState = {
	highest: number;
	/** Orders that it carried out, by lease. */
	done: number[];
	/** True once it carried out an order of an earlier holder after one of a later holder. */
	hasRegressed: boolean;
};

/** State of the whole. */
export type LeaseState = {
	hosts: Record<HostName, HostState>;
	leases: Lease[];
	/** Index of the lease that holds the entry; -1 for none. */
	holder: number;
	fencing: number;
	turns: number;
	late: LateWrite[];
	/** Orders in the network. */
	orders: Order[];
	engine: EngineState;
	/** Faults that may still happen, so that the states are finite. */
	faultsLeft: number;
};

/** How the reply to a write goes: it arrives, or is lost after a write that takes effect now, later or never. */
export const replies = ['arrives', 'lost-applied', 'lost-late', 'lost-dropped'] as const;
/** One of `replies`. */
export type ReplyKind = typeof replies[number];

/** Steps of the protocol and of its surroundings. */
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

/** Faults that can be put into the specification, to show that the invariants catch them. */
export const leaseFaults = ['no-wait', 'no-engine-check', 'no-validity-check', 'early-lapse', 'unknown-is-applied', 'number-not-raised'] as const;
/** One of `leaseFaults`. */
export type LeaseFault = typeof leaseFaults[number];

/** What a specification varies in. */
export type LeaseVariant = {
	/** What the engine does with fencing numbers. */
	fencing: Fencing;
	fault?: LeaseFault;
	/** Leases that are granted in all. */
	leases: number;
	/** Faults of the surroundings in one run. */
	faults: number;
};

const idle: HostState = {
	phase: 'idle', read: 0, lease: -1, number: 0, hasWaited: false, cleared: [],
};

const fresh: EngineState = {highest: 0, done: [], hasRegressed: false};

/** Gets a host without a lease; orders that were allowed may still be sent. */
export const getIdle = (cleared: Order[] = []): HostState => ({...idle, cleared});

/** Gets the initial state. */
export const getInitial = (faults: number): LeaseState => ({
	hosts: {a: idle, b: idle},
	leases: [],
	holder: -1,
	fencing: 0,
	turns: 0,
	late: [],
	orders: [],
	engine: fresh,
	faultsLeft: faults,
});
