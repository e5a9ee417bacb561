import {Buffer} from 'node:buffer';
import type {Entry, Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendEmpty, sendJson, type Exchange, type Listener, type Place,
} from '../listener.js';
import {createFaultControl, type Faults} from '../faults.js';
import {createLimit} from './limit.js';
import {createStore, type Store, type StoreWrite} from './store.js';

/** Options of `createKeyValue`. */
export type KeyValueOptions = Place & {
	writesPerSecond?: number;
	readsPerSecond?: number;
	/** Bytes of the longest value. */
	valueBytes?: number;
	/** Time that each call takes. */
	callTime?: Milliseconds;
	seed?: number;
	clock?: Clock;
};

/** Calls since the start; a watch counts as one when it is opened. */
export type KeyValueCounts = {
	reads: number;
	writes: number;
	watches: number;
	leases: number;
	refused: number;
};

/** A running fake key-value service. */
export type FakeKeyValue = {
	listener: Listener;
	faults: Faults;
	store: Store;
	counts: KeyValueCounts;
	close: () => Promise<void>;
};

type CallKind = 'reads' | 'writes' | 'watches' | 'leases';

type Call = Exchange & {
	store: Store;
	faults: Faults;
	clock: Clock;
	valueBytes: number;
	/** Sends the answer, unless it is to be lost. */
	answer: (status: number, body?: unknown) => void;
};

const defaultWrites = 400;
const defaultReads = 2000;
const defaultValueBytes = 1_048_576;
const defaultCallTime: Milliseconds = 1;
const keyPath = '/v1/kv/';
const watchPath = '/v1/watch/';
const leasePath = '/v1/leases/';
const longestWatch: Milliseconds = 60_000;

const getKind = ({method, url}: Exchange): CallKind => {
	if (url.pathname.startsWith('/v1/leases')) {
		return 'leases';
	}

	if (url.pathname.startsWith(watchPath)) {
		return 'watches';
	}

	return method === 'GET' ? 'reads' : 'writes';
};

const answerWrite = (call: Call, write: StoreWrite): void => {
	call.answer(write.applied ? 200 : 409, {revision: write.revision});
};

const handleKey = async (call: Call): Promise<void> => {
	const key = decodeURIComponent(call.url.pathname.slice(keyPath.length));
	if (call.method === 'GET') {
		const entry = call.store.read(key);
		call.answer(entry === undefined ? 404 : 200, entry);
		return;
	}

	if (call.method === 'DELETE') {
		answerWrite(call, call.store.remove(key, Number(call.url.searchParams.get('expected'))));
		return;
	}

	const change = await readJson(call.request) as {value: string; expected: number; lease?: string};
	if (Buffer.byteLength(change.value) > call.valueBytes) {
		call.answer(413, {error: {code: 'value-too-large'}});
		return;
	}

	answerWrite(call, call.store.write(key, change));
};

const handleWatch = (call: Call): void => {
	const key = decodeURIComponent(call.url.pathname.slice(watchPath.length));
	const limit = Math.min(longestWatch, Number(call.url.searchParams.get('limit') ?? longestWatch));
	const tell = (entry: Entry | undefined): void => {
		if (call.faults.silentWatch !== true) {
			stopTimer();
			call.answer(entry === undefined ? 204 : 200, entry);
		}
	};

	let stopTimer = (): void => undefined;
	const stopWatch = call.store.watch({key, after: Number(call.url.searchParams.get('after')), tell});
	stopTimer = call.clock.after(limit, () => {
		stopWatch();
		tell(undefined);
	});
	call.response.on('close', () => {
		stopWatch();
		stopTimer();
	});
	if (call.response.writableEnded) {
		stopTimer();
	}
};

const handleLease = async (call: Call): Promise<void> => {
	if (call.url.pathname === '/v1/leases') {
		const {duration} = await readJson(call.request) as {duration: Milliseconds};
		const lease = call.store.grantLease(duration);
		call.answer(200, {lease: lease.id, expiresIn: lease.duration});
		return;
	}

	const [id = '', action] = call.url.pathname.slice(leasePath.length).split('/');
	if (action === 'renew') {
		const lease = call.store.renewLease(id);
		call.answer(lease === undefined ? 404 : 200, {lease: id, expiresIn: lease?.duration ?? 0});
		return;
	}

	call.answer(call.store.endLease(id) ? 200 : 404, {lease: id});
};

const handleCall = async (call: Call): Promise<void> => {
	if (call.url.pathname.startsWith(keyPath)) {
		await handleKey(call);
	} else if (call.url.pathname.startsWith(watchPath)) {
		handleWatch(call);
	} else if (call.url.pathname.startsWith('/v1/leases')) {
		await handleLease(call);
	} else if (call.url.pathname === '/v1/kv') {
		call.answer(200, {entries: call.store.list(call.url.searchParams.get('prefix') ?? '')});
	} else {
		call.answer(404, {error: {code: 'not-found'}});
	}
};

const createAnswer = ({response}: Exchange, isLost: boolean) => (status: number, body?: unknown): void => {
	if (isLost) {
		response.socket?.resetAndDestroy();
	} else if (status === 204) {
		sendEmpty(response, status);
	} else {
		sendJson(response, status, body ?? {});
	}
};

/** Starts a fake key-value service on a loopback port. */
export const createKeyValue = async (options: KeyValueOptions = {}): Promise<FakeKeyValue> => {
	const clock = options.clock ?? createSystemClock();
	const store = createStore(clock);
	const counts: KeyValueCounts = {
		reads: 0, writes: 0, watches: 0, leases: 0, refused: 0,
	};
	const faults: Faults = {};
	const control = createFaultControl({
		faults, clock, random: createRandom(options.seed ?? 1), getState: () => ({...counts, openWatches: store.countWatches(), faults}),
	});
	const reads = createLimit(clock, options.readsPerSecond ?? defaultReads);
	const writes = createLimit(clock, options.writesPerSecond ?? defaultWrites);

	const takes = (kind: CallKind): boolean => {
		counts[kind]++;
		const taken = (kind === 'reads' || kind === 'watches' ? reads : writes).take();
		counts.refused += taken ? 0 : 1;
		return taken;
	};

	const listener = await createListener(options, async exchange => {
		if (await control.handleControl(exchange)) {
			return;
		}

		if (!takes(getKind(exchange))) {
			sendJson(exchange.response, 429, {error: {code: 'rate-limit'}});
			return;
		}

		await clock.sleep(options.callTime ?? defaultCallTime);
		const fate = await control.applyFaults(exchange);
		if (fate !== 'answered') {
			await handleCall({
				...exchange, store, faults, clock, valueBytes: options.valueBytes ?? defaultValueBytes, answer: createAnswer(exchange, fate === 'lose-reply'),
			});
		}
	});
	return {
		listener, faults, store, counts, close: async () => listener.crash(),
	};
};
