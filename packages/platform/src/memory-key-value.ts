import type {Clock, Random} from '@gentianlift/clock';
import type {
	Entry, KeyValueService, LeaseOutcome, ListOutcome, Milliseconds, ReadOutcome, WatchOutcome, WriteOutcome,
} from '@gentianlift/types';

/** A fault of one write: its reply is lost, and it takes effect now, later or never; or it is refused. */
export const writeFaults = ['lost-reply', 'late', 'dropped', 'refused'] as const;
/** One of `writeFaults`. */
export type WriteFault = typeof writeFaults[number];

/** How the service misbehaves from now on. */
export type MemoryFaults = {
	/** Every call fails as `unavailable`. */
	outage: boolean;
	/** Time that each reply takes. */
	latency: Milliseconds;
	/** Chance of each write fault, from 0 to 1. */
	chances: Record<WriteFault, number>;
	/** Longest time after which a `late` write takes effect. */
	lateLimit: Milliseconds;
};

/** Number of calls of each kind since the start. */
export type CallCounts = {reads: number; writes: number; lists: number; watches: number; leases: number};

/** A write as the service saw it take effect. */
export type AppliedWrite = {key: string; value: string | undefined; revision: number; at: Milliseconds};

/** A key-value service in memory, for tests and measurements. */
export type MemoryKeyValue = KeyValueService & {
	setFaults: (faults: Partial<MemoryFaults>) => void;
	/** Gives the next writes these faults, in order. */
	failWrites: (...faults: WriteFault[]) => void;
	/** Gets an entry without a call. */
	peek: (key: string) => Entry | undefined;
	getCalls: () => CallCounts;
	/** Every write that took effect, oldest first. */
	getHistory: () => readonly AppliedWrite[];
};

/** What the service needs. */
export type MemoryOptions = {clock: Clock; random: Random};

type Stored = {entry: Entry; lease?: string};
type Write = {key: string; value: string | undefined; expected: number; lease?: string};

const noFaults: MemoryFaults = {
	outage: false,
	latency: 0,
	chances: {
		'lost-reply': 0, late: 0, dropped: 0, refused: 0,
	},
	lateLimit: 1000,
};
const outageReason = 'outage';

const createStore = (clock: Clock) => {
	const entries = new Map<string, Stored>();
	const leases = new Map<string, Milliseconds>();
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
		leases.delete(lease);
		const keys = [...entries].filter(([, stored]) => stored.lease === lease).map(([key]) => key);
		for (const key of keys) {
			put(key, undefined);
		}
	};

	const expireLeases = (): void => {
		const ended = [...leases].filter(([, end]) => end <= clock.monotonic()).map(([lease]) => lease);
		for (const lease of ended) {
			endLease(lease);
		}
	};

	const get = (key: string): Entry | undefined => {
		expireLeases();
		return entries.get(key)?.entry;
	};

	const apply = ({key, value, expected, lease}: Write): WriteOutcome => {
		const found = get(key)?.revision ?? 0;
		const isLeaseLost = lease !== undefined && !leases.has(lease);
		if (found !== expected || isLeaseLost) {
			return {kind: 'rejected', revision: found};
		}

		return {kind: 'applied', revision: put(key, value, lease)};
	};

	const list = (prefix: string): Entry[] => {
		expireLeases();
		return [...entries.values()].map(({entry}) => entry).filter(({key}) => key.startsWith(prefix));
	};

	return {
		get, apply, list, leases, endLease, expireLeases, watchers, history,
	};
};

type Store = ReturnType<typeof createStore>;

const watchStore = async (store: Store, clock: Clock, {key, after, limit}: {key: string; after: number; limit: Milliseconds}) =>
	new Promise<WatchOutcome>(resolve => {
		const getChange = (): Entry | undefined => {
			const entry = store.get(key);
			return entry !== undefined && entry.revision > after ? entry : undefined;
		};

		const end = (outcome: WatchOutcome): void => {
			store.watchers.delete(check);
			cancel();
			resolve(outcome);
		};

		const check = (): void => {
			const entry = getChange();
			if (entry !== undefined) {
				end({kind: 'changed', entry});
			}
		};

		const cancel = clock.after(limit, () => {
			end({kind: 'unchanged'});
		});
		store.watchers.add(check);
		check();
	});

const createLeaseCalls = (store: Store, clock: Clock) => {
	let sequence = 0;
	const durations = new Map<string, Milliseconds>();
	const hold = (lease: string, duration: Milliseconds): LeaseOutcome => {
		store.leases.set(lease, clock.monotonic() + duration);
		return {kind: 'held', lease, expiresIn: duration};
	};

	return {
		grant(duration: Milliseconds): LeaseOutcome {
			const lease = `lease-${++sequence}`;
			durations.set(lease, duration);
			return hold(lease, duration);
		},
		renew(lease: string): LeaseOutcome {
			store.expireLeases();
			return store.leases.has(lease) ? hold(lease, durations.get(lease) ?? 0) : {kind: 'lost'};
		},
		end(lease: string): LeaseOutcome {
			store.endLease(lease);
			return {kind: 'lost'};
		},
	};
};

const createWriteCalls = (store: Store, {clock, random}: MemoryOptions, getFaults: () => MemoryFaults) => {
	const planned: WriteFault[] = [];
	const getFault = (): WriteFault | undefined =>
		planned.shift() ?? writeFaults.find(fault => random.next() < getFaults().chances[fault]);

	const write = (change: Write): WriteOutcome => {
		const fault = getFault();
		switch (fault) {
			case undefined: {
				return store.apply(change);
			}

			case 'lost-reply': {
				store.apply(change);
				return {kind: 'unknown', reason: fault};
			}

			case 'late': {
				clock.after(random.below(getFaults().lateLimit) + 1, () => {
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

	return {write, planned};
};

/** Creates an empty key-value service without faults. */
export const createMemoryKeyValue = (options: MemoryOptions): MemoryKeyValue => {
	const {clock} = options;
	let faults = noFaults;
	const calls: CallCounts = {
		reads: 0, writes: 0, lists: 0, watches: 0, leases: 0,
	};
	const store = createStore(clock);
	const leaseCalls = createLeaseCalls(store, clock);
	const {write, planned} = createWriteCalls(store, options, () => faults);

	const answer = async <Outcome>(kind: keyof CallCounts, run: () => Outcome): Promise<Outcome | {kind: 'unavailable'; reason: string}> => {
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
		read: async key => answer('reads', () => read(key)),
		list: async prefix => answer('lists', (): ListOutcome => ({kind: 'found', entries: store.list(prefix)})),
		compareAndSwap: async change => answer('writes', () => write(change)),
		remove: async (key, expected) => answer('writes', () => write({key, value: undefined, expected})),
		async watch(key, after, limit) {
			const outcome = await answer('watches', () => undefined);
			return outcome ?? watchStore(store, clock, {key, after, limit});
		},
		grantLease: async duration => answer('leases', () => leaseCalls.grant(duration)),
		renewLease: async lease => answer('leases', () => leaseCalls.renew(lease)),
		endLease: async lease => answer('leases', () => leaseCalls.end(lease)),
		setFaults(changes) {
			faults = {...faults, ...changes};
		},
		failWrites(...next) {
			planned.push(...next);
		},
		peek: key => store.get(key),
		getCalls: () => ({...calls}),
		getHistory: () => store.history,
	};
};
