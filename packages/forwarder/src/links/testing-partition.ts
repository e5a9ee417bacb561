import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@gentianlift/clock';
import type {DecodedEntry} from '@gentianlift/discovery';
import {createLogger} from '@gentianlift/logger';
import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';
import type {Address, Entry, Milliseconds} from '@gentianlift/types';
import type {HostSettings} from '../host/host-settings.js';
import {startHost, type Host} from '../host/start-host.js';
import {sum, upstreamMark, type AnswerHandler} from '../test-deployment.js';
import {sendRequest, startUpstream, type TestAnswer} from '../testing.js';
import {protocol} from '../testing-protocol.js';
import {createTestStore, type TestStore} from '../host/testing-store.js';
import {openHostLink, type HostLink, type HostLinkState} from './testing-link.js';
import {takeLoopback} from './testing-loopback.js';

/** A host of a fleet, with its own link to each upstream. */
export type LinkedHost = {
	host: Host;
	/** Address for callers. */
	callers: Address;
	/** Address for other hosts. */
	peers: Address;
	logLines: string[];
	links: HostLink[];
};

/** A fleet of hosts that exchange load reports and share a store and upstreams. */
export type LinkedFleet = {
	hosts: LinkedHost[];
	upstreams: Upstream[];
	/** Numbers of requests that the upstreams have received. */
	counts: number[];
	/** Sets the state of all links of some hosts, by index. */
	setLinks: (hosts: readonly number[], state: HostLinkState) => void;
	/** Publishes another configuration. */
	configure: (configuration: RoutingConfiguration) => void;
	/** Brings the store back from an older copy, which holds an older configuration. */
	restore: (configuration: RoutingConfiguration) => void;
	/** Starts another host. */
	addHost: () => Promise<LinkedHost>;
};

/** Options of a fleet. */
export type LinkedFleetOptions = {
	hosts: number;
	/** Handlers of the upstreams of the service `s`. */
	upstreams: readonly AnswerHandler[];
	configuration: RoutingConfiguration;
	/** Grace period of the hosts; short if absent, so that tests end soon. */
	gracePeriod?: Milliseconds;
	onFinished: (close: () => void) => void;
};

const configurationKey = 'configuration';
/** Time in which the hosts of a new fleet get to know each other. */
const meetingTime: Milliseconds = 1200;

const callerPort = 8001;
const peerPort = 8002;

const buildSettings = (index: number, ip: string, gracePeriod: Milliseconds): HostSettings => {
	const peers = `${ip}:${peerPort}`;
	return {
		host: `h${index}`,
		zone: ['a', 'b', 'c'][index % 3]!,
		capacity: 1,
		memory: 250_000_000,
		descriptors: 4096,
		callers: `${ip}:${callerPort}`,
		peers,
		loadReports: peers,
		knownPeers: [],
		gracePeriod,
		addressTtl: 1000,
		retryLimit: {ratio: 0.2, minimum: 54, window: 10_000},
	};
};

/** Returns a decoder by which a host sees each upstream at the address of its own link to it. */
const createDecoder = (links: readonly HostLink[]) => ({key, value}: Entry): DecodedEntry => {
	if (key === configurationKey) {
		return {kind: 'configuration', configuration: JSON.parse(value) as RoutingConfiguration};
	}

	if (!key.startsWith('upstreams/')) {
		return {kind: 'other'};
	}

	const upstream = JSON.parse(value) as Upstream;
	const link = links[Number(upstream.id.slice(1))]!;
	return {kind: 'upstream', upstream: {...upstream, address: link.address}};
};

/** What the hosts of a fleet share. */
type FleetParts = {upstreams: readonly Upstream[]; store: TestStore; gracePeriod: Milliseconds | undefined};

const shortGracePeriod: Milliseconds = 100;

const startLinkedHost = async (index: number, {upstreams, store, gracePeriod = shortGracePeriod}: FleetParts): Promise<LinkedHost> => {
	const ip = takeLoopback();
	const links = await Promise.all(upstreams.map(async ({address}) => openHostLink(ip, address)));
	const logLines: string[] = [];
	const settings = buildSettings(index, ip, gracePeriod);
	const logger = createLogger('info', line => {
		logLines.push(line);
	});
	const host = await startHost(settings, {
		clock: createSystemClock(), logger, store, decode: createDecoder(links), protocol,
	});
	const {callers, peers} = settings;
	return {
		host, callers, peers, logLines, links,
	};
};

/** Starts a fleet, and waits until its hosts know each other. */
export const startLinkedFleet = async ({
	hosts: hostCount, upstreams: handlers, configuration, gracePeriod, onFinished,
}: LinkedFleetOptions): Promise<LinkedFleet> => {
	const store = createTestStore();
	const counts = handlers.map(() => 0);
	const started = await Promise.all(handlers.map(async (answer, index) => startUpstream(`u${index}`, (request, response) => {
		counts[index] = (counts[index] ?? 0) + 1;
		answer(request, response);
	})));
	const upstreams = started.map(({upstream}) => upstream);
	store.put(configurationKey, JSON.stringify(configuration));
	for (const upstream of upstreams) {
		store.put(`upstreams/${upstream.id}`, JSON.stringify(upstream));
	}

	const parts: FleetParts = {upstreams, store, gracePeriod};
	const hosts = await Promise.all(Array.from({length: hostCount}, async (_, index) => startLinkedHost(index, parts)));
	onFinished(() => {
		for (const {host, links} of hosts) {
			void host.stop();
			for (const link of links) {
				link.close();
			}
		}

		for (const {server} of started) {
			server.close();
			server.closeAllConnections();
		}
	});
	await sleep(meetingTime);
	return {
		hosts,
		upstreams,
		counts,
		setLinks(indexes, state) {
			for (const link of indexes.flatMap(index => hosts[index]!.links)) {
				link.setState(state);
			}
		},
		configure(next) {
			store.put(configurationKey, JSON.stringify(next));
		},
		restore(older) {
			store.restore(configurationKey, JSON.stringify(older));
		},
		async addHost() {
			const added = await startLinkedHost(hosts.length, parts);
			hosts.push(added);
			return added;
		},
	};
};

/** Requests that are sent at intervals for a time; `name` begins their ids. */
export type Traffic = {interval: Milliseconds; duration: Milliseconds; paths: readonly string[]; name: string};

/** Creates a handler that streams numbered events at intervals, after those that the caller has. */
export const createStream = (count: number, interval: Milliseconds): AnswerHandler => (request, response) => {
	let next = Number(request.headers['last-event'] ?? 0) + 1;
	response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream', attempt: request.headers.attempt ?? ''});
	const timer = setInterval(() => {
		response.write(`id: ${next}\ndata: x\n\n`);
		next += 1;
		if (next > count) {
			clearInterval(timer);
			response.end();
		}
	}, interval);
	response.once('close', () => {
		clearInterval(timer);
	});
};

/** Sends requests to the hosts in turn; returns the answers by host. */
export const sendToHosts = async ({hosts}: LinkedFleet, {interval, duration, paths, name}: Traffic): Promise<TestAnswer[][]> => {
	const answers: Array<Array<Promise<TestAnswer>>> = hosts.map(() => []);
	for (let sent = 0; sent * interval < duration; sent++) {
		const index = sent % hosts.length;
		const path = paths[Math.floor(sent / hosts.length) % paths.length]!;
		answers[index]!.push(sendRequest(hosts[index]!.callers, {path, headers: {attempt: `${name}-${sent}`}}));
		// eslint-disable-next-line no-await-in-loop -- Requests are sent at intervals.
		await sleep(interval);
	}

	return Promise.all(answers.map(async list => Promise.all(list)));
};

/** Returns the part of the answers of some hosts that are complete successes. */
export const getServedRatio = (answers: readonly TestAnswer[][], hosts: readonly number[]): number => {
	const counted = hosts.flatMap(index => answers[index]!);
	return sum(counted.map(({status, isComplete}) => status === 200 && isComplete ? 1 : 0)) / counted.length;
};
