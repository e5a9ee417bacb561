import type {ListedHost, Milliseconds} from '@gentianlift/types';
import {createRandom, createSystemClock, type Clock} from '@gentianlift/clock';
import {
	createListener, readJson, sendJson, type Listener, type ListenOptions,
} from './listener.js';
import {createFaultControl, type Faults} from './faults.js';

/** Options of a fake host list. */
export type HostListOptions = ListenOptions & {
	hosts?: ListedHost[];
	/** Delay until a change of the list is visible. */
	changeDelay?: Milliseconds;
	clock?: Clock;
};

/** Running fake of the host list. */
export type FakeHostList = {
	listener: Listener;
	faults: Faults;
	/** Replaces the list after the configured delay. */
	setHosts: (hosts: ListedHost[]) => void;
	close: () => Promise<void>;
};

const defaultChangeDelay: Milliseconds = 1000;

/** Starts a fake host list. */
export const createFakeHostList = async (options: HostListOptions = {}): Promise<FakeHostList> => {
	const clock = options.clock ?? createSystemClock();
	const faults: Faults = {};
	let hosts = options.hosts ?? [];
	let reads = 0;
	const control = createFaultControl({
		faults, clock, random: createRandom(1), getState: () => ({hosts, reads, faults}),
	});
	const setHosts = (next: ListedHost[]): void => {
		clock.after(options.changeDelay ?? defaultChangeDelay, () => {
			hosts = next;
		});
	};

	const listener = await createListener(options, async exchange => {
		if (await control.handleControlRequest(exchange)) {
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
