import {createRandom, type Clock} from '@gentianlift/clock';
import {
	createLoadTracker, createPeerServer, hostSilenceTimeout, joinFleet, type Fleet, type DecodedEntry, type FleetStore, type HostRecord, type ReportArrival,
} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, createStreamOrigins, createVersionHistory, streamLifetime, type RetryLimit,
} from '@gentianlift/routing';
import type {
	Address, Entry, HostId, Milliseconds, Zone,
} from '@gentianlift/types';
import {probeConnection} from './connection-probe.js';
import {createCrashDetector} from './crash-detector.js';
import {findReachingHosts} from './find-reaching-hosts.js';
import {createForwarder} from './forward.js';
import {createFragileUpstreams} from './fragile-upstreams.js';
import {createHostAgents} from './host-agents.js';
import {listen} from './listen.js';
import type {Protocol} from './protocol.js';
import {createCallerServer} from './serve-callers.js';
import {getRandomSeed} from './random-seed.js';
import {canAcceptRequest, stopHost} from './stop-host.js';
import {findStreamOrigin} from './resumption.js';
import {createViewFreshness} from './view-freshness.js';
import type {ForwarderContext} from './context.js';
import {createUpstreamLinks} from './upstream-links.js';
import {createUpstreamLimits} from './upstream-limits.js';
import {createUpstreamRests} from './upstream-rests.js';
import {createUpstreamTracker} from './upstream-tracker.js';

/** Settings of a host. */
export type HostSettings = {
	host: HostId;
	zone: Zone;
	/** Processing capacity of the host, in cores of standard speed. */
	capacity: number;
	/** Address on which callers' requests are received. */
	callers: Address;
	/** Address on which other hosts' requests are received. */
	peers: Address;
	/** UDP address on which load reports of other hosts are received. */
	loadReports: Address;
	/** Peer addresses of some other hosts, which may be gone. */
	knownPeers: Address[];
	/** Grace period between the signal to stop and the kill of the process. */
	gracePeriod: Milliseconds;
	/** Time to live of a list of addresses that callers were given; capped at `maxAddressListTtl`. */
	addressTtl: Milliseconds;
	retryLimit: RetryLimit;
};

/** Dependencies of a host, apart from its settings. */
export type HostDependencies = {
	clock: Clock;
	logger: Logger;
	store: FleetStore;
	/** Decodes an entry that was written by operators or by an upstream. */
	decode: (entry: Entry) => DecodedEntry;
	protocol: Protocol;
};

/** A running host. */
export type Host = {
	/** Whether the host is ready for requests: it has a configuration and isn't stopping. */
	isReady: () => boolean;
	/** Returns the hosts that a caller in the availability zone is directed to. */
	getHostsForCaller: (zone: Zone | undefined) => HostRecord[];
	/** Time to live of the list of hosts that callers are given: the configured one, capped at `maxAddressListTtl`. */
	addressTtl: Milliseconds;
	/** Returns the metrics in the text format that is served to scrapers. */
	getMetricsPage: () => string;
	/** Applies the grace period, the time to live of addresses and the limit on retries; changed addresses apply at the next start. */
	reload: (settings: HostSettings) => void;
	/** Shuts the host down gracefully; resolves when its process may end. */
	stop: () => Promise<void>;
};

/** Longest time to establish a connection that tests a link. */
const linkProbeTimeout: Milliseconds = 400;
/** Longest time to live of a list of addresses; short, so that callers stop using a stopping host soon. */
const maxAddressListTtl: Milliseconds = 1000;
/** Callers may use a list for up to this multiple of its time to live. */
const staleUseFactor = 3;

const buildHostRecord = (settings: HostSettings, incarnation: number): HostRecord => ({
	host: settings.host,
	incarnation,
	zone: settings.zone,
	callers: settings.callers,
	peers: settings.peers,
	notes: settings.loadReports,
	strength: settings.capacity,
	isStopping: false,
});

/** State of a graceful shutdown; `since` is undefined until it begins. */
type Shutdown = {since: Milliseconds | undefined; gracePeriod: Milliseconds};

const recordReportArrival = (metrics: Metrics, {outcome, age}: ReportArrival): void => {
	metrics.count('reports_total', {outcome});
	if (age !== undefined) {
		metrics.record('report_age', age);
	}
};

/** Joins the fleet and creates the dependencies that the forwarder's modules share. */
const createContext = (settings: HostSettings, {clock, logger, store, decode, protocol}: HostDependencies, shutdown: Shutdown, onLoad: () => void): {context: ForwarderContext; fleet: Fleet} => {
	const random = createRandom(getRandomSeed(settings.host, clock.now()));
	const metrics = createMetrics();
	const loads = createLoadTracker();
	const limits = createUpstreamLimits({
		clock,
		logger,
		countHosts: () => fleet.countHosts(),
		isAmongChosenHosts: (key, count) => fleet.isAmongChosenHosts(key, count),
		announce(news) {
			fleet.reportExchange.addLimit(news);
		},
	});
	const rests = createUpstreamRests({clock, random, logger});
	const fragileUpstreams = createFragileUpstreams({
		clock, logger, loads, countHosts: () => fleet.countHosts(), isAmongChosenHosts: (key, count) => fleet.isAmongChosenHosts(key, count),
	});
	const tracker = createUpstreamTracker({
		clock, logger, loads, limits, rests, fragileUpstreams, getService: upstream => fleet.view.getService(upstream),
	});
	const suspects = createCrashSuspects();
	const streamOrigins = createStreamOrigins();
	const versions = createVersionHistory(streamLifetime);
	const isStopping = (): boolean => shutdown.since !== undefined;
	const fleet = joinFleet({
		record: buildHostRecord(settings, clock.now()),
		knownPeers: settings.knownPeers,
		store,
		decode,
		clock,
		random,
		logger,
		loads,
		suspects,
		isStopping,
		onLoad,
		onPrefill({upstream, model, parts}) {
			tracker.recordPrefill(upstream, {model, parts});
		},
		onStream(stream) {
			streamOrigins.add(stream, clock.monotonic());
		},
		getLimits: limits.getNews,
		onLimit: limits.applyNews,
		onReport(arrival) {
			recordReportArrival(metrics, arrival);
		},
		onListed(upstream) {
			versions.list(upstream, clock.monotonic());
		},
		onRemoved(upstream) {
			versions.remove(upstream, clock.monotonic());
			tracker.remove(upstream);
			limits.remove(upstream);
			rests.remove(upstream);
			fragileUpstreams.remove(upstream);
		},
		onLeaving: tracker.retire,
	});
	const links = createUpstreamLinks({
		clock,
		random,
		logger,
		zone: settings.zone,
		getUpstreams: fleet.view.getUpstreams,
		probe: async ({address}) => await probeConnection(address, linkProbeTimeout, clock) === 'established',
		findReachingHosts: async query => findReachingHosts(query, {fleet, clock, random}),
		isSilent: host => fleet.reportExchange.getSilence(host) > hostSilenceTimeout,
		onChange(upstreams) {
			for (const upstream of upstreams) {
				tracker.closeIdleConnections(upstream);
			}

			onLoad();
		},
		onReached: tracker.recordReachable,
	});
	const context: ForwarderContext = {
		clock,
		random,
		logger,
		metrics,
		protocol,
		host: settings.host,
		zone: settings.zone,
		view: fleet.view,
		freshness: createViewFreshness({clock, view: fleet.view, reportExchange: fleet.reportExchange}, fleet.refresh),
		reportExchange: fleet.reportExchange,
		tracker,
		limits,
		rests,
		fragileUpstreams,
		links,
		hostAgents: createHostAgents(),
		getHostAddresses: () => fleet.getAvailableOthers().map(({peers}) => peers),
		suspects,
		crashDetector: createCrashDetector(clock, links.isReachedByOthers),
		streamOrigins,
		versions,
		askForStreamOrigin: fleet.askForStreamOrigin,
		retryLimit: {...settings.retryLimit},
		countHosts: fleet.countHosts,
		isTrialHost: suspect => fleet.isAmongChosenHosts(suspect, 1),
		isStopping,
		canAccept: timeout => shutdown.since === undefined || canAcceptRequest(clock.monotonic() - shutdown.since, shutdown.gracePeriod, timeout),
	};
	return {context, fleet};
};

/** Starts a host: joins the fleet and listens for callers and other hosts. Rejects if an address can't be used. */
export const startHost = async (settings: HostSettings, dependencies: HostDependencies): Promise<Host> => {
	const {clock, logger} = dependencies;
	const shutdown: Shutdown = {since: undefined, gracePeriod: settings.gracePeriod};
	let addressListTtl = Math.min(settings.addressTtl, maxAddressListTtl);
	const {context, fleet} = createContext(settings, dependencies, shutdown, () => {
		forwarder.onLoadChange();
	});
	const forwarder = createForwarder(context);
	const callers = createCallerServer({context, forwarder});
	const isReady = (): boolean => shutdown.since === undefined && fleet.view.getRoutes() !== undefined;
	const peers = createPeerServer({
		view: fleet.view,
		findStreamOrigin: query => findStreamOrigin(query, context),
		getReach: async query => ({isReached: isReady() && await context.links.reaches(query), openRequests: callers.countOpenRequests()}),
		answerForwardedCall: callers.answerForwardedCall,
	});
	await Promise.all([listen(callers.server, settings.callers), listen(peers, settings.peers)]);
	logger.info('started', {host: settings.host, zone: settings.zone, callers: settings.callers});

	const announce = async (): Promise<void> => {
		fleet.reportExchange.markStopping();
		await fleet.registration.markStopping();
	};

	return {
		isReady,
		getHostsForCaller: fleet.getHostsForCaller,
		get addressTtl() {
			return addressListTtl;
		},
		getMetricsPage() {
			context.metrics.setGauge('queue_length', forwarder.getQueueLength());
			context.metrics.setGauge('upstream_limits', context.limits.countLimits());
			context.metrics.setGauge('upstreams_resting', context.rests.countResting());
			context.metrics.setGauge('services_cut', context.links.countCut());
			context.metrics.setGauge('upstreams_avoided', context.tracker.countAvoided());
			return context.metrics.renderPrometheusText();
		},
		reload(next) {
			shutdown.gracePeriod = next.gracePeriod;
			addressListTtl = Math.min(next.addressTtl, maxAddressListTtl);
			Object.assign(context.retryLimit, next.retryLimit);
			logger.info('reloaded', {
				grace: next.gracePeriod, offerLife: addressListTtl, retryRatio: next.retryLimit.ratio, retryMinimum: next.retryLimit.minimum, hasOtherAddress: next.callers !== settings.callers,
			});
		},
		async stop() {
			if (shutdown.since !== undefined) {
				return;
			}

			shutdown.since = clock.monotonic();
			await stopHost({
				clock, logger, gracePeriod: shutdown.gracePeriod, maxAddressUse: addressListTtl * staleUseFactor,
				countOpenRequests: callers.countOpenRequests, announce, release: fleet.registration.end,
			});
		},
	};
};
