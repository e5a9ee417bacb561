import type {Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendJson, type Listener, type ListenOptions,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** Options of a fake weight store. */
export type WeightStoreOptions = ListenOptions & {
	/** Bandwidth shared by all concurrent loads. */
	bytesPerSecond?: number;
	clock?: Clock;
};

/** Running fake of the weight store. */
export type FakeWeightStore = {
	listener: Listener;
	faults: Faults;
	close: () => Promise<void>;
};

/** Load in progress; `finish` is called once no bytes remain. */
type WeightLoad = {remainingBytes: number; finish: () => void};

const defaultBytesPerSecond = 2e9;
const tickInterval: Milliseconds = 20;
const millisecondsPerSecond = 1000;

/** Divides the bandwidth equally among the concurrent loads, recomputed every tick. */
const createSharedBandwidth = (clock: Clock, bytesPerSecond: number) => {
	const {every} = clock;
	const loads = new Set<WeightLoad>();
	const advance = (): void => {
		const bytesPerLoad = bytesPerSecond * tickInterval / millisecondsPerSecond / Math.max(1, loads.size);
		for (const load of loads) {
			load.remainingBytes -= bytesPerLoad;
			if (load.remainingBytes <= 0) {
				loads.delete(load);
				load.finish();
			}
		}
	};

	return {
		stop: every(tickInterval, advance),
		transfer: async (bytes: number): Promise<void> => new Promise(resolve => {
			loads.add({remainingBytes: bytes, finish: resolve});
		}),
		getRemainingBytes: () => [...loads].reduce((sum, load) => sum + Math.max(0, load.remainingBytes), 0),
	};
};

/** Starts a fake weight store. */
export const createFakeWeightStore = async (options: WeightStoreOptions = {}): Promise<FakeWeightStore> => {
	const clock = options.clock ?? createSystemClock();
	const bytesPerSecond = options.bytesPerSecond ?? defaultBytesPerSecond;
	const faults: Faults = {};
	const bandwidth = createSharedBandwidth(clock, bytesPerSecond);
	const getRate = () => ({bytesPerSecond, bytesUnderWay: bandwidth.getRemainingBytes()});
	const control = createFaultControl({
		faults, clock, random: createRandom(1), getState: () => ({...getRate(), faults}),
	});
	const listener = await createListener(options, async exchange => {
		if (await control.handleControlRequest(exchange) || await control.applyFaults(exchange) !== 'serve') {
			return;
		}

		if (exchange.url.pathname === '/v1/rate') {
			sendJson(exchange.response, 200, getRate());
			return;
		}

		const {bytes} = await readJson(exchange.request) as {bytes: number};
		await bandwidth.transfer(bytes);
		sendJson(exchange.response, 200, {bytes});
	});
	return {
		listener,
		faults,
		async close() {
			bandwidth.stop();
			await listener.crash();
		},
	};
};
