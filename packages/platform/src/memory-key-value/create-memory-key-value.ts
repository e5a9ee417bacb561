import type {Clock, Random} from '@gentianlift/clock';
import type {
	Entry, KeyValueService, ListOutcome, ReadOutcome, WriteOutcome,
} from '@gentianlift/types';
import {createCalls, type CallCounts, type Calls} from './calls.js';
import type {AppliedWrite} from './entries.js';
import {
	applyWithFault, drawWriteFault, noFaults, type FaultContext, type MemoryFaults, type WriteFault,
} from './faults.js';
import {createStore, type Store, type WriteRequest} from './store.js';
import {waitForChange} from './watch.js';

/** In-memory key-value service with fault injection, for tests and benchmarks. */
export type MemoryKeyValue = KeyValueService & {
	/** Changes the given faults and keeps the others. */
	setFaults: (faults: Partial<MemoryFaults>) => void;
	/** Injects these faults into the next writes, in order. */
	injectWriteFaults: (...faults: WriteFault[]) => void;
	/** Returns an entry without counting a call or injecting faults. */
	peek: (key: string) => Entry | undefined;
	/** Returns the number of calls of each kind. */
	getCallCounts: () => CallCounts;
	/** Returns all applied writes, oldest first. */
	getAppliedWrites: () => readonly AppliedWrite[];
};

/** Dependencies of the in-memory service. */
export type MemoryKeyValueOptions = {clock: Clock; random: Random};

type Write = (request: WriteRequest) => WriteOutcome;

const read = (store: Store, key: string): ReadOutcome => {
	const entry = store.get(key);
	return entry === undefined ? {kind: 'absent'} : {kind: 'found', entry};
};

const createService = (store: Store, calls: Calls, write: Write, clock: Clock): KeyValueService => ({
	read: async key => calls.simulate('reads', () => read(store, key)),
	list: async prefix => calls.simulate('lists', (): ListOutcome => ({kind: 'found', entries: store.list(prefix)})),
	compareAndSwap: async change => calls.simulate('writes', () => write(change)),
	remove: async (key, expected) => calls.simulate('writes', () => write({key, value: undefined, expected})),
	async watch(key, after, limit) {
		const outage = await calls.simulate('watches', () => undefined);
		return outage ?? waitForChange(store, clock, {key, after, limit});
	},
	grantLease: async duration => calls.simulate('leases', () => store.leases.grant(duration)),
	renewLease: async lease => calls.simulate('leases', () => store.leases.renew(lease)),
	endLease: async lease => calls.simulate('leases', () => store.leases.end(lease)),
});

/** Creates an empty key-value service without faults. */
export const createMemoryKeyValue = ({clock, random}: MemoryKeyValueOptions): MemoryKeyValue => {
	let faults = noFaults;
	const plannedFaults: WriteFault[] = [];
	const context: FaultContext = {clock, random, getFaults: () => faults};
	const store = createStore(clock);
	const calls = createCalls(clock, context.getFaults);
	const write: Write = request => applyWithFault(store, request, plannedFaults.shift() ?? drawWriteFault(context), context);
	return {
		...createService(store, calls, write, clock),
		setFaults(changes) {
			faults = {...faults, ...changes};
		},
		injectWriteFaults(...next) {
			plannedFaults.push(...next);
		},
		peek: key => store.get(key),
		getCallCounts: calls.getCounts,
		getAppliedWrites: () => store.history,
	};
};
