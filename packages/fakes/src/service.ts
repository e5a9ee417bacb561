import type {Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readBody, sendJson, type Exchange, type Listener, type ListenOptions,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** Record of a call that an application service executed. */
export type ServiceCall = {
	method: string;
	path: string;
	idempotencyKey: string;
	/** Value of the `x-request-id` header; empty if it is absent. */
	request: string;
	body: string;
	/** Time of arrival, in milliseconds since the Unix epoch. */
	at: Milliseconds;
};

/** Options of a fake application service. */
export type ServiceOptions = ListenOptions & {
	/** Execution time of a call. */
	serviceTime?: Milliseconds;
	/** Maximum number of concurrent calls; further ones are rejected as not run. */
	slots?: number;
	/** Factor by which calls run faster than the clock. */
	timeFactor?: number;
	seed?: number;
	clock?: Clock;
};

/** Running fake of an application service. */
export type FakeService = {
	listener: Listener;
	faults: Faults;
	/** Executed calls, oldest first. */
	calls: ServiceCall[];
	getState: () => ServiceState;
	close: () => Promise<void>;
};

/** Body of an application service's answer to `GET /fake/state`. */
export type ServiceState = {
	received: number;
	refused: number;
	/** Number of executed calls whose idempotency key had been executed before. */
	doubled: number;
	calls: ServiceCall[];
	faults: Faults;
};

const defaultRestartDelay: Milliseconds = 2000;
const defaultServiceTime: Milliseconds = 80;
const defaultSlots = 8;

const getHeader = ({request}: Exchange, name: string): string => {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
};

const countRepeatedCalls = (calls: ServiceCall[]): number => {
	const keys = calls.map(call => call.idempotencyKey).filter(key => key !== '');
	return keys.length - new Set(keys).size;
};

const getRefusal = (faults: Faults, running: number, slots: number): string | undefined => {
	if (faults.leaving === true) {
		return 'leaving';
	}

	return faults.refuse === true || running >= slots ? 'busy' : undefined;
};

/** Starts a fake application service. */
export const createFakeService = async (options: ServiceOptions = {}): Promise<FakeService> => {
	const clock = options.clock ?? createSystemClock();
	const slots = options.slots ?? defaultSlots;
	const faults: Faults = {};
	const calls: ServiceCall[] = [];
	let received = 0;
	let refused = 0;
	let running = 0;
	const getState = (): ServiceState => ({
		received, refused, doubled: countRepeatedCalls(calls), calls, faults,
	});

	const onChange = async (change: Faults): Promise<void> => {
		if (change.crash !== true) {
			return;
		}

		faults.crash = false;
		await listener.crash();
		const delay = faults.restartAfterMs ?? defaultRestartDelay;
		if (delay > 0) {
			clock.after(delay, () => {
				void listener.restart();
			});
		}
	};

	const control = createFaultControl({
		faults, clock, random: createRandom(options.seed ?? 1), getState, onChange,
	});

	const executeCall = async (exchange: Exchange): Promise<ServiceCall> => {
		const {method, url} = exchange;
		const call: ServiceCall = {
			method,
			path: url.pathname + url.search,
			idempotencyKey: getHeader(exchange, 'idempotency-key'),
			request: getHeader(exchange, 'x-request-id'),
			body: await readBody(exchange.request),
			at: clock.now(),
		};
		calls.push(call);
		running++;
		const duration = (options.serviceTime ?? defaultServiceTime) * (faults.slowFactor ?? 1) / (options.timeFactor ?? 1);
		await clock.sleep(duration + (faults.stallMs ?? 0));
		running--;
		return call;
	};

	const listener = await createListener(options, async exchange => {
		if (await control.handleControlRequest(exchange)) {
			return;
		}

		const faultOutcome = await control.applyFaults(exchange);
		if (faultOutcome === 'answered') {
			return;
		}

		if (exchange.method === 'GET' && exchange.url.pathname === '/health') {
			sendJson(exchange.response, 200, {status: 'ok'});
			return;
		}

		received++;
		const refusal = getRefusal(faults, running, slots);
		if (refusal !== undefined) {
			refused++;
			sendJson(exchange.response, 503, {error: {code: refusal}}, {'x-ran': 'not-run'});
			return;
		}

		const executedCall = await executeCall(exchange);
		if (faultOutcome === 'lose-reply') {
			exchange.response.socket?.resetAndDestroy();
			return;
		}

		if (faults.silent === undefined) {
			sendJson(exchange.response, 200, {booked: executedCall, number: calls.length}, {'x-ran': 'ran'});
		}
	});
	return {
		listener,
		faults,
		calls,
		getState,
		close: async () => listener.crash(),
	};
};
