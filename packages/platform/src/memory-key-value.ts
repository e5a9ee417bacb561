import type {Clock, Random} from '@gentianlift/clock';
import type {
	Entry, KeyValueService, LeaseOutcome, ListOutcome, Milliseconds, ReadOutcome, WatchOutcome, WriteOutcome,
} from '@gentianlift/types';

/** Faults of a write. For the first three the caller gets no reply, and the write is applied at once, after a delay, or never; a refused write is known not to be applied. */
export const writeFaults = ['lost-reply', 'late', 'dropped', 'refused'] as const;
/** Fault that is injected into a write. */
export type WriteFault = typeof writeFaults[number];

/** Faults that are injected into calls until they are changed. */
export type MemoryFaults = {
	/** Every call fails as `unavailable`. */
	outage: boolean;
	/** Delay of each reply. */
	latency: Milliseconds;
	/** Probability of each write fault, from 0 to 1. */
	probabilities: Record<WriteFault, number>;
	/** Maximum delay after which a `late` write is applied. */
	maxLateDelay: Milliseconds;
};

/** Number of calls of each kind since the service was created. */
export type CallCounts = {reads: number; writes: number; lists: number; watches: number; leases: number};

/** Record of an applied write; the value of a removal is undefined. */
export type AppliedWrite = {key: string; value: string | undefined; revision: number; at: Milliseconds};

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

/** Entry with the lease that it expires with. */
type StoredEntry = {entry: Entry; lease?: string};
/** Compare-and-swap of a value, or a removal if the value is undefined. */
type WriteRequest = {key: string; value: string | undefined; expected: number; lease?: string};

const noFaults: MemoryFaults = {
	outage: false,
	latency: 0,
	probabilities: {
		'lost-reply': 0, late: 0, dropped: 0, refused: 0,
	},
	maxLateDelay: 1000,
};
const outageReason = 'outage';

/** Creates the state of the service: entries, leases, watchers and the history of applied writes. */
const createStore = (clock: Clock) => {
	const entries = new Map<string, StoredEntry>();
	const leaseExpiries = new Map<string, Milliseconds>();
	const history: AppliedWrite[] = [];
	const watchers = new Set<() => void>();
	let revision = 0;

	const put = (key: string, value: string | undefined, lease?: string): number => {
		revision++;
		if (value === undefined) {
			entries.delete(key);
		} else {
			entries.set(key, {entry: {key, value, revision}, ...(lease !== undefined && {lease})});
		}

		history.push({
			key, value, revision, at: clock.now(),
		});
		for (const notify of watchers) {
			notify();
		}

		return revision;
	};

	const endLease = (lease: string): void => {
		leaseExpiries.delete(lease);
		const keys = [...entries].filter(([, stored]) => stored.lease === lease).map(([key]) => key);
		for (const key of keys) {
			put(key, undefined);
		}
	};

	const expireLeases = (): void => {
		const expired = [...leaseExpiries].filter(([, expiresAt]) => expiresAt <= clock.monotonic()).map(([lease]) => lease);
		for (const lease of expired) {
			endLease(lease);
		}
	};

	const get = (key: string): Entry | undefined => {
		expireLeases();
		return entries.get(key)?.entry;
	};

	const apply = ({key, value, expected, lease}: WriteRequest): WriteOutcome => {
		const currentRevision = get(key)?.revision ?? 0;
		const isLeaseLost = lease !== undefined && !leaseExpiries.has(lease);
		if (currentRevision !== expected || isLeaseLost) {
			return {kind: 'rejected', revision: currentRevision};
		}

		return {kind: 'applied', revision: put(key, value, lease)};
	};

	const list = (prefix: string): Entry[] => {
		expireLeases();
		return [...entries.values()].map(({entry}) => entry).filter(({key}) => key.startsWith(prefix));
	};

	return {
		get, apply, list, leaseExpiries, endLease, expireLeases, watchers, history,
	};
};

type Store = ReturnType<typeof createStore>;

/** Resolves on the first change of a key past a revision, or after `limit`. */
const waitForChange = async (store: Store, clock: Clock, {key, after, limit}: {key: string; after: number; limit: Milliseconds}) =>
	new Promise<WatchOutcome>(resolve => {
		const getChange = (): Entry | undefined => {
			const entry = store.get(key);
			return entry !== undefined && entry.revision > after ? entry : undefined;
		};

		const finish = (outcome: WatchOutcome): void => {
			store.watchers.delete(check);
			cancel();
			resolve(outcome);
		};

		const check = (): void => {
			const entry = getChange();
			if (entry !== undefined) {
				finish({kind: 'changed', entry});
			}
		};

		const cancel = clock.after(limit, () => {
			finish({kind: 'unchanged'});
		});
		store.watchers.add(check);
		check();
	});

const createLeaseOperations = (store: Store, clock: Clock) => {
	let sequence = 0;
	const durations = new Map<string, Milliseconds>();
	const setExpiry = (lease: string, duration: Milliseconds): LeaseOutcome => {
		store.leaseExpiries.set(lease, clock.monotonic() + duration);
		return {kind: 'held', lease, expiresIn: duration};
	};

	return {
		grant(duration: Milliseconds): LeaseOutcome {
			const lease = `lease-${++sequence}`;
			durations.set(lease, duration);
			return setExpiry(lease, duration);
		},
		renew(lease: string): LeaseOutcome {
			store.expireLeases();
			return store.leaseExpiries.has(lease) ? setExpiry(lease, durations.get(lease) ?? 0) : {kind: 'lost'};
		},
		end(lease: string): LeaseOutcome {
			store.endLease(lease);
			return {kind: 'lost'};
		},
	};
};

const createWriteOperations = (store: Store, {clock, random}: MemoryKeyValueOptions, getFaults: () => MemoryFaults) => {
	const plannedFaults: WriteFault[] = [];
	/** Returns the fault of the next write: a planned one, otherwise a random one by its probability. */
	const takeNextFault = (): WriteFault | undefined =>
		plannedFaults.shift() ?? writeFaults.find(fault => random.next() < getFaults().probabilities[fault]);

	const write = (change: WriteRequest): WriteOutcome => {
		const fault = takeNextFault();
		switch (fault) {
			case undefined: {
				return store.apply(change);
			}

			case 'lost-reply': {
				store.apply(change);
				return {kind: 'unknown', reason: fault};
			}

			case 'late': {
				clock.after(random.nextInt(getFaults().maxLateDelay) + 1, () => {
					store.apply(change);
				});
				return {kind: 'unknown', reason: fault};
			}

			case 'dropped': {
				return {kind: 'unknown', reason: fault};
			}

			case 'refused': {
				return {kind: 'unavailable', reason: fault};
			}
		}
	};

	return {write, plannedFaults};
};

/** Creates an empty key-value service without faults. */
export const createMemoryKeyValue = (options: MemoryKeyValueOptions): MemoryKeyValue => {
	const {clock} = options;
	let faults = noFaults;
	const calls: CallCounts = {
		reads: 0, writes: 0, lists: 0, watches: 0, leases: 0,
	};
	const store = createStore(clock);
	const leaseOperations = createLeaseOperations(store, clock);
	const {write, plannedFaults} = createWriteOperations(store, options, () => faults);

	/** Counts a call, fails it during an outage, and delays its reply; the call takes effect before the delay. */
	const simulateCall = async <Outcome>(kind: keyof CallCounts, run: () => Outcome): Promise<Outcome | {kind: 'unavailable'; reason: string}> => {
		calls[kind]++;
		const outcome = faults.outage ? {kind: 'unavailable' as const, reason: outageReason} : run();
		if (faults.latency > 0) {
			await clock.sleep(faults.latency);
		}

		return outcome;
	};

	const read = (key: string): ReadOutcome => {
		const entry = store.get(key);
		return entry === undefined ? {kind: 'absent'} : {kind: 'found', entry};
	};

	return {
		read: async key => simulateCall('reads', () => read(key)),
		list: async prefix => simulateCall('lists', (): ListOutcome => ({kind: 'found', entries: store.list(prefix)})),
		compareAndSwap: async change => simulateCall('writes', () => write(change)),
		remove: async (key, expected) => simulateCall('writes', () => write({key, value: undefined, expected})),
		async watch(key, after, limit) {
			const outcome = await simulateCall('watches', () => undefined);
			return outcome ?? waitForChange(store, clock, {key, after, limit});
		},
		grantLease: async duration => simulateCall('leases', () => leaseOperations.grant(duration)),
		renewLease: async lease => simulateCall('leases', () => leaseOperations.renew(lease)),
		endLease: async lease => simulateCall('leases', () => leaseOperations.end(lease)),
		setFaults(changes) {
			faults = {...faults, ...changes};
		},
		injectWriteFaults(...next) {
			plannedFaults.push(...next);
		},
		peek: key => store.get(key),
		getCallCounts: () => ({...calls}),
		getAppliedWrites: () => store.history,
	};
};
