import type {Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readBody, sendJson, type Exchange, type Listener, type Place,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** A call that an application service carried out. */
export type ServiceCall = {
	method: string;
	path: string;
	idempotencyKey: string;
	request: string;
	body: string;
	at: Milliseconds;
};

/** Options of `createService`. */
export type ServiceOptions = Place & {
	/** Time that one call takes. */
	serviceTime?: Milliseconds;
	/** Calls carried out at once; more are refused as not run. */
	slots?: number;
	timeFactor?: number;
	seed?: number;
	clock?: Clock;
};

/** A running fake application service. */
export type FakeService = {
	listener: Listener;
	faults: Faults;
	calls: ServiceCall[];
	getState: () => ServiceState;
	close: () => Promise<void>;
};

/** What `GET /fake/state` of an application service tells. */
export type ServiceState = {
	received: number;
	refused: number;
	/** Calls with an idempotency key that had been carried out before. */
	doubled: number;
	calls: ServiceCall[];
	faults: Faults;
};

const defaultRestart: Milliseconds = 2000;
const defaultServiceTime: Milliseconds = 80;
const defaultSlots = 8;

const getHeader = ({request}: Exchange, name: string): string => {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
};

const countDoubled = (calls: ServiceCall[]): number => {
	const keys = calls.map(call => call.idempotencyKey).filter(key => key !== '');
	return keys.length - new Set(keys).size;
};

const getRefusal = (faults: Faults, running: number, slots: number): string | undefined => {
	if (faults.leaving === true) {
		return 'leaving';
	}

	return faults.refuse === true || running >= slots ? 'busy' : undefined;
};

/** Starts a fake application service on a loopback port. */
export const createService = async (options: ServiceOptions = {}): Promise<FakeService> => {
	const clock = options.clock ?? createSystemClock();
	const slots = options.slots ?? defaultSlots;
	const faults: Faults = {};
	const calls: ServiceCall[] = [];
	let received = 0;
	let refused = 0;
	let running = 0;
	const getState = (): ServiceState => ({
		received, refused, doubled: countDoubled(calls), calls, faults,
	});

	const onChange = async (change: Faults): Promise<void> => {
		if (change.crash !== true) {
			return;
		}

		faults.crash = false;
		await listener.crash();
		const delay = faults.restartAfterMs ?? defaultRestart;
		if (delay > 0) {
			clock.after(delay, () => {
				void listener.restart();
			});
		}
	};

	const control = createFaultControl({
		faults, clock, random: createRandom(options.seed ?? 1), getState, onChange,
	});

	const carryOut = async (exchange: Exchange): Promise<ServiceCall> => {
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
		if (await control.handleControl(exchange)) {
			return;
		}

		const fate = await control.applyFaults(exchange);
		if (fate === 'answered') {
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

		const call = await carryOut(exchange);
		if (fate === 'lose-reply') {
			exchange.response.socket?.resetAndDestroy();
			return;
		}

		if (faults.silent === undefined) {
			sendJson(exchange.response, 200, {booked: call, number: calls.length}, {'x-ran': 'ran'});
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
