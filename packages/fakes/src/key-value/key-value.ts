import {Buffer} from 'node:buffer';
import type {Entry, Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendEmpty, sendJson, type Exchange, type Listener, type ListenOptions,
} from '../listener.js';
import {createFaultControl, type Faults} from '../faults.js';
import {createRateLimit} from './rate-limit.js';
import {createStore, type Store, type StoreWriteResult} from './store.js';

/** Options of a fake key-value service. */
export type KeyValueOptions = ListenOptions & {
	/** Rate limit of writes and lease calls. */
	writesPerSecond?: number;
	/** Rate limit of reads and watches. */
	readsPerSecond?: number;
	/** Maximum size of a value, in bytes. */
	maxValueBytes?: number;
	/** Processing time of each call. */
	callTime?: Milliseconds;
	seed?: number;
	clock?: Clock;
};

/** Number of calls since the start; a watch counts once, when it is opened. */
export type KeyValueCounts = {
	reads: number;
	writes: number;
	watches: number;
	leases: number;
	/** Calls rejected by the rate limits. */
	refused: number;
};

/** Running fake of the key-value service. */
export type FakeKeyValue = {
	listener: Listener;
	faults: Faults;
	store: Store;
	counts: KeyValueCounts;
	close: () => Promise<void>;
};

type CallKind = 'reads' | 'writes' | 'watches' | 'leases';

/** Admitted call with the service's state. */
type KeyValueCall = Exchange & {
	store: Store;
	faults: Faults;
	clock: Clock;
	maxValueBytes: number;
	/** Sends the response, or resets the connection if the reply is to be lost. */
	respond: (status: number, body?: unknown) => void;
};

const defaultWritesPerSecond = 400;
const defaultReadsPerSecond = 2000;
const defaultMaxValueBytes = 1_048_576;
const defaultCallTime: Milliseconds = 1;
const keyPathPrefix = '/v1/kv/';
const watchPathPrefix = '/v1/watch/';
const leasePathPrefix = '/v1/leases/';
const maxWatchDuration: Milliseconds = 60_000;

const getCallKind = ({method, url}: Exchange): CallKind => {
	if (url.pathname.startsWith('/v1/leases')) {
		return 'leases';
	}

	if (url.pathname.startsWith(watchPathPrefix)) {
		return 'watches';
	}

	return method === 'GET' ? 'reads' : 'writes';
};

const respondToWrite = (call: KeyValueCall, write: StoreWriteResult): void => {
	call.respond(write.applied ? 200 : 409, {revision: write.revision});
};

const handleKey = async (call: KeyValueCall): Promise<void> => {
	const key = decodeURIComponent(call.url.pathname.slice(keyPathPrefix.length));
	if (call.method === 'GET') {
		const entry = call.store.read(key);
		call.respond(entry === undefined ? 404 : 200, entry);
		return;
	}

	if (call.method === 'DELETE') {
		respondToWrite(call, call.store.remove(key, Number(call.url.searchParams.get('expected'))));
		return;
	}

	const change = await readJson(call.request) as {value: string; expected: number; lease?: string};
	if (Buffer.byteLength(change.value) > call.maxValueBytes) {
		call.respond(413, {error: {code: 'value-too-large'}});
		return;
	}

	respondToWrite(call, call.store.write(key, change));
};

const handleWatch = (call: KeyValueCall): void => {
	const key = decodeURIComponent(call.url.pathname.slice(watchPathPrefix.length));
	const limit = Math.min(maxWatchDuration, Number(call.url.searchParams.get('limit') ?? maxWatchDuration));
	const endWatch = (entry: Entry | undefined): void => {
		if (call.faults.silentWatch !== true) {
			stopTimer();
			call.respond(entry === undefined ? 204 : 200, entry);
		}
	};

	let stopTimer = (): void => undefined;
	const stopWatch = call.store.watch({key, after: Number(call.url.searchParams.get('after')), notify: endWatch});
	stopTimer = call.clock.after(limit, () => {
		stopWatch();
		endWatch(undefined);
	});
	call.response.on('close', () => {
		stopWatch();
		stopTimer();
	});
	if (call.response.writableEnded) {
		stopTimer();
	}
};

const handleLease = async (call: KeyValueCall): Promise<void> => {
	if (call.url.pathname === '/v1/leases') {
		const {duration} = await readJson(call.request) as {duration: Milliseconds};
		const lease = call.store.grantLease(duration);
		call.respond(200, {lease: lease.id, expiresIn: lease.duration});
		return;
	}

	const [id = '', action] = call.url.pathname.slice(leasePathPrefix.length).split('/');
	if (action === 'renew') {
		const lease = call.store.renewLease(id);
		call.respond(lease === undefined ? 404 : 200, {lease: id, expiresIn: lease?.duration ?? 0});
		return;
	}

	call.respond(call.store.endLease(id) ? 200 : 404, {lease: id});
};

const handleCall = async (call: KeyValueCall): Promise<void> => {
	if (call.url.pathname.startsWith(keyPathPrefix)) {
		await handleKey(call);
	} else if (call.url.pathname.startsWith(watchPathPrefix)) {
		handleWatch(call);
	} else if (call.url.pathname.startsWith('/v1/leases')) {
		await handleLease(call);
	} else if (call.url.pathname === '/v1/kv') {
		call.respond(200, {entries: call.store.list(call.url.searchParams.get('prefix') ?? '')});
	} else {
		call.respond(404, {error: {code: 'not-found'}});
	}
};

const createResponder = ({response}: Exchange, isLost: boolean) => (status: number, body?: unknown): void => {
	if (isLost) {
		response.socket?.resetAndDestroy();
	} else if (status === 204) {
		sendEmpty(response, status);
	} else {
		sendJson(response, status, body ?? {});
	}
};

/** Starts a fake key-value service. */
export const createFakeKeyValue = async (options: KeyValueOptions = {}): Promise<FakeKeyValue> => {
	const clock = options.clock ?? createSystemClock();
	const store = createStore(clock);
	const counts: KeyValueCounts = {
		reads: 0, writes: 0, watches: 0, leases: 0, refused: 0,
	};
	const faults: Faults = {};
	const control = createFaultControl({
		faults, clock, random: createRandom(options.seed ?? 1), getState: () => ({...counts, openWatches: store.countWatches(), faults}),
	});
	const readLimit = createRateLimit(clock, options.readsPerSecond ?? defaultReadsPerSecond);
	const writeLimit = createRateLimit(clock, options.writesPerSecond ?? defaultWritesPerSecond);

	/** Counts a call and returns whether the rate limit admits it; watches count as reads, lease calls as writes. */
	const admitCall = (kind: CallKind): boolean => {
		counts[kind]++;
		const isAdmitted = (kind === 'reads' || kind === 'watches' ? readLimit : writeLimit).take();
		counts.refused += isAdmitted ? 0 : 1;
		return isAdmitted;
	};

	const listener = await createListener(options, async exchange => {
		if (await control.handleControlRequest(exchange)) {
			return;
		}

		if (!admitCall(getCallKind(exchange))) {
			sendJson(exchange.response, 429, {error: {code: 'rate-limit'}});
			return;
		}

		await clock.sleep(options.callTime ?? defaultCallTime);
		const faultOutcome = await control.applyFaults(exchange);
		if (faultOutcome !== 'answered') {
			await handleCall({
				...exchange, store, faults, clock, maxValueBytes: options.maxValueBytes ?? defaultMaxValueBytes, respond: createResponder(exchange, faultOutcome === 'lose-reply'),
			});
		}
	});
	return {
		listener, faults, store, counts, close: async () => listener.crash(),
	};
};
