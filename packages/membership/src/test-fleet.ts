import {createRandom, type Clock, type ManualClock} from '@gentianlift/clock';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {
	HostId, HostList, HostState, ListedHost, Milliseconds,
} from '@gentianlift/types';
import {createMembership, type Membership} from './membership.js';
import type {Transport} from './transport/transport.js';
import {createMemoryNetwork, type MemoryNetwork} from './transport/memory-network.js';

/** Hosts in one process that communicate over an in-memory network, for tests. */
export type TestFleet = {
	network: MemoryNetwork;
	/** Starts a host, or a new process of a host that ran before. */
	start: (host: HostId) => Promise<Membership>;
	getMembership: (host: HostId) => Membership;
	getMetrics: (host: HostId) => Metrics;
	/** Terminates the process of a host without notifying the other hosts. */
	kill: (host: HostId) => void;
	/** Pauses or resumes the process of a host, as SIGSTOP and SIGCONT do: timers and datagrams are queued while it is paused. */
	setPaused: (host: HostId, isPaused: boolean) => void;
	/** Returns the hosts whose process is running. */
	getRunningHosts: () => HostId[];
	/** Returns the state of a host as seen by `viewer`; undefined if `viewer` doesn't know it. */
	getState: (viewer: HostId, host: HostId) => HostState | undefined;
	/** Entries that the host list returns. */
	listedHosts: ListedHost[];
};

/** Options of a fleet. */
export type TestFleetOptions = {
	clock: ManualClock;
	seed: number;
	/** Signing keys by host; a host without an entry uses a key that is common to all such hosts. */
	keys?: Record<HostId, string[]>;
	zones?: number;
};

type RunningHost = {membership: Membership; metrics: Metrics; pauseGate: PauseGate};

/** Queues the work of a process while it is paused; on resume, due timers run before received datagrams, as in an event loop. */
type PauseGate = {
	runTimer: (work: () => void) => void;
	runDatagram: (work: () => void) => void;
	setPaused: (isPaused: boolean) => void;
};

const createPauseGate = (): PauseGate => {
	const timers: Array<() => void> = [];
	const datagrams: Array<() => void> = [];
	let isPaused = false;
	const run = (queue: Array<() => void>, work: () => void): void => {
		if (isPaused) {
			queue.push(work);
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
			const pendingWork = isPaused ? [] : [...timers.splice(0), ...datagrams.splice(0)];
			for (const work of pendingWork) {
				work();
			}
		},
	};
};

const createHostClock = (clock: Clock, pauseGate: PauseGate): Clock => {
	const {after, every} = clock;
	const deferWhilePaused = (run: () => void) => () => {
		pauseGate.runTimer(run);
	};

	return {
		...clock,
		after: (delay, run) => after(delay, deferWhilePaused(run)),
		every: (interval, run) => every(interval, deferWhilePaused(run)),
	};
};

const createHostTransport = (transport: Transport, pauseGate: PauseGate): Transport => ({
	...transport,
	start: async onDatagram => transport.start(bytes => {
		pauseGate.runDatagram(() => {
			onDatagram(bytes);
		});
	}),
});

const defaultZones = 3;
const firstIncarnation: Milliseconds = 1_000_000;

/** Returns the address of a host in the network of the fleet. */
export const getGossipAddress = (host: HostId): string => `${host}:7000`;

/** Creates a fleet without hosts; its seeds are `h0` and `h1`. */
export const createTestFleet = ({clock, seed, keys = {}, zones = defaultZones}: TestFleetOptions): TestFleet => {
	const random = createRandom(seed);
	const network = createMemoryNetwork(clock, random);
	const running = new Map<HostId, RunningHost>();
	const listedHosts: ListedHost[] = [];
	const hostList: HostList = {readHosts: async () => listedHosts};
	let incarnation = firstIncarnation;

	const getRunningHost = (host: HostId): RunningHost => {
		const known = running.get(host);
		if (known === undefined) {
			throw new Error(`${host} is not running`);
		}

		return known;
	};

	return {
		network,
		listedHosts,
		async start(host) {
			incarnation++;
			const metrics = createMetrics();
			network.setMuted(getGossipAddress(host), false);
			const pauseGate = createPauseGate();
			const transport = createHostTransport(network.createTransport(getGossipAddress(host)), pauseGate);
			const membership = createMembership({
				clock: createHostClock(clock, pauseGate),
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
			running.set(host, {membership, metrics, pauseGate});
			return membership;
		},
		getMembership: host => getRunningHost(host).membership,
		getMetrics: host => getRunningHost(host).metrics,
		kill(host) {
			const {membership} = getRunningHost(host);
			network.setMuted(getGossipAddress(host), true);
			membership.stop();
			running.delete(host);
		},
		setPaused(host, isPaused) {
			getRunningHost(host).pauseGate.setPaused(isPaused);
		},
		getRunningHosts: () => [...running.keys()],
		getState: (viewer, host) => getRunningHost(viewer).membership.getMembers().find(member => member.host === host)?.state,
	};
};
