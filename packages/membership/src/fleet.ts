import {createRandom, type ManualClock} from '@gentianlift/clock';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import type {
	HostId, HostList, HostState, ListedHost, Milliseconds,
} from '@gentianlift/types';
import {createMembership, type Membership} from './membership.js';
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

type Running = {membership: Membership; metrics: Metrics};

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
			const transport = network.createTransport(getGossipAddress(host));
			const membership = createMembership({
				clock,
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
			running.set(host, {membership, metrics});
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
		getRunning: () => [...running.keys()],
		getState: (viewer, host) => find(viewer).membership.getMembers().find(member => member.host === host)?.state,
	};
};
