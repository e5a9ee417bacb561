import {
	createServer, request, type IncomingMessage, type RequestListener, type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom, createSystemClock} from '@gentianlift/clock';
import {
	createFleetView, createLoadTracker, type FleetView, type FleetViewOptions, type LoadTracker, type LoadReportExchange,
} from '@gentianlift/discovery';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, createStreamOrigins, createVersionHistory, streamLifetime, type RoutingConfiguration, type Upstream,
} from '@gentianlift/routing';
import {splitAddress, type Address} from '@gentianlift/types';
import {createCrashDetector} from './crashes/crash-detector.js';
import {createForwarder, type Forwarder} from './forward.js';
import {createCallerServer, type CallerServer} from './callers/serve-callers.js';
import type {ForwarderContext} from './context.js';
import {createHostAgents} from './send/host-agents.js';
import {protocol} from './testing-protocol.js';
import {createBodyBudget} from './memory/body-budget.js';
import {createMemoryBudget} from './memory/memory-budget.js';
import {createSoleLimits} from './statements/testing-sole-limits.js';
import {createSoleLinks} from './links/testing-sole-links.js';
import {createFragileUpstreams} from './statements/fragile-upstreams.js';
import {createUpstreamRests} from './statements/upstream-rests.js';
import {createUpstreamTracker} from './queue/upstream-tracker.js';
import {createViewFreshness} from './resume/view-freshness.js';

/** A host with its server for callers, for tests. */
export type TestHost = {
	port: number;
	context: ForwarderContext;
	/** Lines that the host has logged. */
	logLines: string[];
	loads: LoadTracker;
	forwarder: Forwarder;
	callers: CallerServer;
	/** Replaces the upstreams that are listed at the host. */
	setUpstreams: (upstreams: readonly Upstream[]) => void;
	setStopping: (isStopping: boolean) => void;
	close: () => void;
};

/** An answer as received by a caller. */
export type TestAnswer = {status: number; headers: IncomingMessage['headers']; body: string; isComplete: boolean};

/** Makes a server listen on a free port of 127.0.0.1; returns the port. */
export const listenOnAnyPort = async (server: Server): Promise<number> => {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
};

/** Starts a stub upstream on a free port; the caller closes its server. */
export const startUpstream = async (id: string, answer: RequestListener): Promise<{upstream: Upstream; server: Server}> => {
	const server = createServer(answer);
	const port = await listenOnAnyPort(server);
	return {
		server,
		upstream: {
			id, service: 's', address: `127.0.0.1:${port}`, zone: 'a', isLeaving: false, slots: 8, startedAt: 1, softwareVersion: 'v1',
		},
	};
};

const createReportExchange = (loads: LoadTracker): LoadReportExchange => ({
	addLoad(upstream, change) {
		loads.addOwnLoad(upstream, change, performance.now());
	},
	addPrefill: () => undefined,
	addCrash: () => undefined,
	addStream: () => undefined,
	addGoodEnd: () => undefined,
	addLimit: () => undefined,
	addLeaving: () => undefined,
	markStopping: () => undefined,
	getNewestRevision: () => 0,
	getRevisionOf: () => 0,
	getNewestConfigurationVersion: () => undefined,
	getConfigurationVersionOf: () => undefined,
	getShortestSilence: () => 0,
	getSilence: () => Number.POSITIVE_INFINITY,
	sendChanges: () => undefined,
	sendMessage: () => undefined,
	hasRelayFeed: () => false,
	isStopping: () => false,
	close: () => undefined,
});

const createView = (options: Omit<FleetViewOptions, 'decode'>, configuration: RoutingConfiguration | undefined, upstreams: Map<string, Upstream>): FleetView => createFleetView({
	...options,
	decode({key}) {
		const upstream = upstreams.get(key);
		if (upstream !== undefined) {
			return {kind: 'upstream', upstream};
		}

		return configuration === undefined ? {kind: 'unreadable', reason: 'none'} : {kind: 'configuration', configuration};
	},
});

/** Bytes of answers, and of request bodies, that a host may hold, as if it had 250 MB of memory. */
const memoryLimit = 25_000_000;

/** Starts a host that serves callers with the configuration, or knows none. */
export const startTestHost = async (configuration: RoutingConfiguration | undefined, refresh?: () => Promise<void>): Promise<TestHost> => {
	const clock = createSystemClock();
	const logLines: string[] = [];
	const logger = createLogger('info', line => {
		logLines.push(line);
	});
	const loads = createLoadTracker();
	const upstreams = new Map<string, Upstream>();
	const versions = createVersionHistory(streamLifetime);
	const view = createView({
		logger,
		onListed(upstream) {
			// The hosts of tests count as running for long.
			versions.list(upstream, clock.monotonic() - streamLifetime);
		},
		onRemoved(upstream) {
			versions.remove(upstream, clock.monotonic());
		},
		onLeaving(upstream) {
			context.tracker.retire(upstream);
		},
	}, configuration, upstreams);
	let revision = 1;
	let isStopping = false;
	const setEntries = (): void => {
		revision += 1;
		const entries = ['configuration', ...upstreams.keys()].map(key => ({key, value: '', revision}));
		view.applySnapshot({entries, revision}, clock.monotonic());
	};

	setEntries();
	const reportExchange = createReportExchange(loads);
	const recordContact = async (): Promise<void> => {
		view.recordContact(true, clock.monotonic());
	};

	const limits = createSoleLimits(clock, logger);
	const fragileUpstreams = createFragileUpstreams({
		clock, logger, loads, countHosts: () => 1, isAmongChosenHosts: () => true,
	});
	const rests = createUpstreamRests({clock, random: createRandom(1), logger});
	const links = createSoleLinks(clock, view);
	const metrics = createMetrics();
	const context: ForwarderContext = {
		clock,
		host: 'h',
		random: createRandom(1),
		logger,
		metrics,
		protocol,
		zone: 'a',
		view,
		freshness: createViewFreshness({
			clock,
			view,
			reportExchange,
			isConfigurationBehind: () => (reportExchange.getNewestConfigurationVersion() ?? 0) > (configuration?.version ?? 0),
			refresh: refresh ?? recordContact,
			confirm: async () => true,
		}),
		reportExchange,
		limits,
		rests,
		fragileUpstreams,
		links,
		hostAgents: createHostAgents(),
		getHostAddresses: () => [],
		tracker: createUpstreamTracker({
			clock, logger, loads, limits, rests, fragileUpstreams, getService: view.getService,
		}),
		memory: createMemoryBudget({limit: memoryLimit, logger, metrics}),
		bodies: createBodyBudget({
			limit: memoryLimit, residentMemory: {isShort: () => false}, clock, logger, metrics,
		}),
		maxWaitingBytes: memoryLimit,
		suspects: createCrashSuspects(),
		crashDetector: createCrashDetector(clock, links.isAwayForOthers),
		streamOrigins: createStreamOrigins(),
		versions,
		askForStreamOrigin: async () => undefined,
		retryLimit: {ratio: 0.2, minimum: 54, window: 10_000},
		countHosts: () => 1,
		isTrialHost: () => true,
		isStopping: () => isStopping,
		getTimeSinceStop: () => undefined,
		getServingEnd: () => Number.POSITIVE_INFINITY,
		canAccept: () => !isStopping,
	};
	const forwarder = createForwarder(context);
	const callers = createCallerServer({context, forwarder});
	const {server} = callers;
	const port = await listenOnAnyPort(server);
	return {
		port,
		context,
		logLines,
		loads,
		forwarder,
		callers,
		setUpstreams(next) {
			upstreams.clear();
			for (const upstream of next) {
				upstreams.set(upstream.id, upstream);
			}

			setEntries();
		},
		setStopping(next) {
			isStopping = next;
		},
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/** Sends a request to an address, or a port of 127.0.0.1, as a caller; resolves with its answer, which may be incomplete. `onText` is called with the body so far. */
export const sendRequest = async (target: number | Address, {path, method = 'POST', headers = {}, body = '', onText}: {
	path: string; method?: string; headers?: Record<string, string>; body?: string; onText?: (text: string) => void;
}): Promise<TestAnswer> => new Promise((resolve, reject) => {
	const outgoing = request({
		...(typeof target === 'number' ? {host: '127.0.0.1', port: target} : splitAddress(target)), path, method, headers, agent: false,
	}, message => {
		let text = '';
		message.setEncoding('utf8');
		message.on('data', (chunk: string) => {
			text += chunk;
			onText?.(text);
		});
		message.on('error', () => undefined);
		message.on('close', () => {
			resolve({
				status: message.statusCode ?? 0, headers: message.headers, body: text, isComplete: message.complete,
			});
		});
	});
	outgoing.on('error', reject);
	outgoing.end(body);
});

/** Interval at which a log is read while a line is awaited, in milliseconds. */
const logInterval = 10;

/** Waits for the line that a host logs at the end of a request. */
export const waitForEnd = async ({logLines}: TestHost, callerRequestId: string): Promise<string> => {
	for (;;) {
		const end = logLines.find(line => line.includes(`event=call-ended request=${callerRequestId} `));
		if (end !== undefined) {
			return end;
		}

		// eslint-disable-next-line no-await-in-loop -- The log is read until it has the line.
		await sleep(logInterval);
	}
};
