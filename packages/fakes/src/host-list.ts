import type {ListedHost, Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendJson, type Listener, type Place,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** Options of `createHostList`. */
export type HostListOptions = Place & {
	hosts?: ListedHost[];
	/** Time until a change is shown. */
	lag?: Milliseconds;
	clock?: Clock;
};

/** A running fake host list. */
export type FakeHostList = {
	listener: Listener;
	faults: Faults;
	/** Replaces the list; shown after the lag. */
	setHosts: (hosts: ListedHost[]) => void;
	close: () => Promise<void>;
};

const defaultLag: Milliseconds = 1000;

/** Starts a fake host list on a loopback port. */
export const createHostList = async (options: HostListOptions = {}): Promise<FakeHostList> => {
	const clock = options.clock ?? createSystemClock();
	const faults: Faults = {};
	let hosts = options.hosts ?? [];
	let reads = 0;
	const control = createFaultControl({
		faults, clock, random: createRandom(1), getState: () => ({hosts, reads, faults}),
	});
	const setHosts = (next: ListedHost[]): void => {
		clock.after(options.lag ?? defaultLag, () => {
			hosts = next;
		});
	};

	const listener = await createListener(options, async exchange => {
		if (await control.handleControl(exchange)) {
			return;
		}

		if (exchange.method === 'PUT' && exchange.url.pathname === '/fake/hosts') {
			const body = await readJson(exchange.request) as {hosts: ListedHost[]};
			setHosts(body.hosts);
			sendJson(exchange.response, 200, body);
			return;
		}

		if (await control.applyFaults(exchange) === 'serve') {
			reads++;
			sendJson(exchange.response, 200, {hosts});
		}
	});
	return {
		listener, faults, setHosts, close: async () => listener.crash(),
	};
};
