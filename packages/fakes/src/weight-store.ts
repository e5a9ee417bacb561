import type {Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendJson, type Listener, type Place,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** Options of `createWeightStore`. */
export type WeightStoreOptions = Place & {
	/** Rate that all loads share. */
	bytesPerSecond?: number;
	clock?: Clock;
};

/** A running fake weight store. */
export type FakeWeightStore = {
	listener: Listener;
	faults: Faults;
	close: () => Promise<void>;
};

type Load = {left: number; finish: () => void};

const defaultRate = 2e9;
const interval: Milliseconds = 20;
const millisecondsPerSecond = 1000;

const createLoads = (clock: Clock, bytesPerSecond: number) => {
	const {every} = clock;
	const loads = new Set<Load>();
	const advance = (): void => {
		const share = bytesPerSecond * interval / millisecondsPerSecond / Math.max(1, loads.size);
		for (const load of loads) {
			load.left -= share;
			if (load.left <= 0) {
				loads.delete(load);
				load.finish();
			}
		}
	};

	return {
		stop: every(interval, advance),
		read: async (bytes: number): Promise<void> => new Promise(resolve => {
			loads.add({left: bytes, finish: resolve});
		}),
		getBytesUnderWay: () => [...loads].reduce((sum, load) => sum + Math.max(0, load.left), 0),
	};
};

/** Starts a fake weight store on a loopback port. */
export const createWeightStore = async (options: WeightStoreOptions = {}): Promise<FakeWeightStore> => {
	const clock = options.clock ?? createSystemClock();
	const bytesPerSecond = options.bytesPerSecond ?? defaultRate;
	const faults: Faults = {};
	const loads = createLoads(clock, bytesPerSecond);
	const getRate = () => ({bytesPerSecond, bytesUnderWay: loads.getBytesUnderWay()});
	const control = createFaultControl({
		faults, clock, random: createRandom(1), getState: () => ({...getRate(), faults}),
	});
	const listener = await createListener(options, async exchange => {
		if (await control.handleControl(exchange) || await control.applyFaults(exchange) !== 'serve') {
			return;
		}

		if (exchange.url.pathname === '/v1/rate') {
			sendJson(exchange.response, 200, getRate());
			return;
		}

		const {bytes} = await readJson(exchange.request) as {bytes: number};
		await loads.read(bytes);
		sendJson(exchange.response, 200, {bytes});
	});
	return {
		listener,
		faults,
		async close() {
			loads.stop();
			await listener.crash();
		},
	};
};
