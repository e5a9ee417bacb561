import {createRandom, type Clock, type ManualClock} from '@gentianlift/clock';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {
	HostId, HostList, HostState, ListedHost, Milliseconds,
} from '@gentianlift/types';
import {createMembership, type Membership} from './membership.js';
import type {Transport} from './transport/transport.js';
import {createMemoryNetwork, type MemoryNetwork} from './transport/memory-network.js';

/** Hosts in one process over a network in memory, for tests. */
export type Fleet = {
	network: MemoryNetwork;
	/** Starts a host, or another process of it. */
	start: (host: HostId) => Promise<Membership>;
	get: (host: HostId) => Membership;
	getMetrics: (host: HostId) => Metrics;
	/** Ends a process without a word. */
	kill: (host: HostId) => void;
	/** Stops a process as a signal does: its timers and datagrams wait until it goes on. */
	setPaused: (host: HostId, isPaused: boolean) => void;
	/** Hosts whose processes run. */
	getRunning: () => HostId[];
	/** State of a host as another sees it; undefined if it doesn't know it. */
	getState: (viewer: HostId, host: HostId) => HostState | undefined;
	/** What the host list says. */
	list: ListedHost[];
};

/** Options of a fleet. */
export type FleetOptions = {
	clock: ManualClock;
	seed: number;
	/** Keys of a host; all share one by default. */
	keys?: Record<HostId, string[]>;
	zones?: number;
};

type Running = {membership: Membership; metrics: Metrics; pauses: Pauses};

/** Work of a process that waits while it is paused; when it goes on, timers run before datagrams are read. */
type Pauses = {
	runTimer: (work: () => void) => void;
	runDatagram: (work: () => void) => void;
	setPaused: (isPaused: boolean) => void;
};

const createPauses = (): Pauses => {
	const timers: Array<() => void> = [];
	const datagrams: Array<() => void> = [];
	let isPaused = false;
	const run = (waiting: Array<() => void>, work: () => void): void => {
		if (isPaused) {
			waiting.push(work);
		} else {
			work();
		}
	};

	return {
		runTimer(work) {
			run(timers, work);
		},
		runDatagram(work) {
			run(datagrams, work);
		},
		setPaused(next) {
			isPaused = next;
			const due = isPaused ? [] : [...timers.splice(0), ...datagrams.splice(0)];
			for (const work of due) {
				work();
			}
		},
	};
};

const createHostClock = (clock: Clock, pauses: Pauses): Clock => {
	const {after, every} = clock;
	const guard = (run: () => void) => () => {
		pauses.runTimer(run);
	};

	return {
		...clock,
		after: (delay, run) => after(delay, guard(run)),
		every: (interval, run) => every(interval, guard(run)),
	};
};

const createHostTransport = (transport: Transport, pauses: Pauses): Transport => ({
	...transport,
	start: async onDatagram => transport.start(bytes => {
		pauses.runDatagram(() => {
			onDatagram(bytes);
		});
	}),
});

const defaultZones = 3;
const firstIncarnation: Milliseconds = 1_000_000;

/** Gets the address of a host in the fleet's network. */
export const getGossipAddress = (host: HostId): string => `${host}:7000`;

/** Creates a fleet without hosts; its seeds are `h0` and `h1`. */
export const createFleet = ({clock, seed, keys = {}, zones = defaultZones}: FleetOptions): Fleet => {
	const random = createRandom(seed);
	const network = createMemoryNetwork(clock, random);
	const running = new Map<HostId, Running>();
	const list: ListedHost[] = [];
	const hostList: HostList = {readHosts: async () => list};
	let incarnation = firstIncarnation;

	const find = (host: HostId): Running => {
		const known = running.get(host);
		if (known === undefined) {
			throw new Error(`${host} doesn't run`);
		}

		return known;
	};

	return {
		network,
		list,
		async start(host) {
			incarnation++;
			const metrics = createMetrics();
			network.setMuted(getGossipAddress(host), false);
			const pauses = createPauses();
			const transport = createHostTransport(network.createTransport(getGossipAddress(host)), pauses);
			const membership = createMembership({
				clock: createHostClock(clock, pauses),
				random: createRandom(seed + incarnation),
				metrics,
				self: {
					host, incarnation, zone: `z${Number(host.slice(1)) % zones}`, callerAddress: `${host}:80`, peerAddress: `${host}:90`, gossipAddress: getGossipAddress(host),
				},
				seeds: ['h0', 'h1'].map(other => ({host: other, peerAddress: `${other}:90`, gossipAddress: getGossipAddress(other)})),
				keys: keys[host] ?? ['key'],
				transport,
				hostList,
			});
			await membership.start();
			running.set(host, {membership, metrics, pauses});
			return membership;
		},
		get: host => find(host).membership,
		getMetrics: host => find(host).metrics,
		kill(host) {
			const {membership} = find(host);
			network.setMuted(getGossipAddress(host), true);
			membership.stop();
			running.delete(host);
		},
		setPaused(host, isPaused) {
			find(host).pauses.setPaused(isPaused);
		},
		getRunning: () => [...running.keys()],
		getState: (viewer, host) => find(viewer).membership.getMembers().find(member => member.host === host)?.state,
	};
};
