import {createRandom} from '@gentianlift/clock';
import {
	createLoadTracker, hostSilenceTimeout, joinFleet, type Fleet, type HostRecord, type Loop, type ReportArrival,
} from '@gentianlift/discovery';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, createStreamOrigins, createVersionHistory, streamLifetime,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {UsageReports} from '@gentianlift/usage';
import {probeConnection} from '../send/connection-probe.js';
import type {ForwarderContext} from '../context.js';
import {createCrashDetector} from '../crashes/crash-detector.js';
import {findReachingHosts} from '../links/find-reaching-hosts.js';
import {createFragileUpstreams} from '../statements/fragile-upstreams.js';
import {createHostAgents} from '../send/host-agents.js';
import {createUpstreamLimits} from '../statements/upstream-limits.js';
import {createUpstreamLinks, type UpstreamLinks} from '../links/upstream-links.js';
import {createUpstreamRests} from '../statements/upstream-rests.js';
import {createBodyBudget} from '../memory/body-budget.js';
import {createMemoryBudget} from '../memory/memory-budget.js';
import {createResidentMemory} from '../memory/resident-memory.js';
import {createUpstreamTracker} from '../queue/upstream-tracker.js';
import {watchVersionBreaks} from '../resume/version-breaks.js';
import {createViewFreshness} from '../resume/view-freshness.js';
import {canAcceptRequest, getServingTime} from './stop-host.js';
import {getRandomSeed} from './random-seed.js';
import {startHostCapacity} from './host-capacity.js';
import {createHostDuties} from './host-duties.js';
import {createHostUsage} from './host-usage.js';
import type {HostDependencies, HostSettings} from './host-settings.js';
import {classifyRecord} from './store-records.js';

/** State of a graceful shutdown; `since` is undefined until it begins. */
export type Shutdown = {since: Milliseconds | undefined; gracePeriod: Milliseconds};

/** What the context is told by the host's start and end. */
export type ContextOptions = {
	shutdown: Shutdown;
	/** Resolves when the host listens on its addresses. */
	opened: Promise<void>;
	/** Called after the load of other hosts or the state of a link has changed. */
	onLoad: () => void;
};

/** What a host works with. */
export type HostParts = {context: ForwarderContext; fleet: Fleet; usage: UsageReports | undefined; capacity: Loop | undefined};

/** Part of a host's memory that answers may take; the program itself, its connections and the copies of answers that are being joined take the rest. */
const answersPart = 1 / 10;
/** Part of a host's memory that request bodies may take. */
const bodiesPart = 1 / 8;
/** Part of a host's memory that requests may take which wait for those before them on their connections. */
const waitingPart = 1 / 10;
/** Longest time to establish a connection that tests a link. */
const linkProbeTimeout: Milliseconds = 400;

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

const recordReportArrival = (metrics: Metrics, {outcome, age}: ReportArrival): void => {
	metrics.count('reports_total', {outcome});
	if (age !== undefined) {
		metrics.record('report_age', age);
	}
};

/** What a host's links are created from. */
type LinkParts = Pick<HostDependencies, 'clock' | 'logger'> & Pick<ForwarderContext, 'random' | 'tracker'> & {fleet: Fleet; onLoad: () => void; onLoopFailure: (loop: string) => void};

const createLinks = ({zone}: HostSettings, {
	clock, logger, random, fleet, tracker, onLoad, onLoopFailure,
}: LinkParts): UpstreamLinks => createUpstreamLinks({
	clock,
	random,
	logger,
	zone,
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
	onLoopFailure,
});

/** Joins the fleet and creates the dependencies that the forwarder's modules share. */
export const createContext = (settings: HostSettings, dependencies: HostDependencies, {shutdown, opened, onLoad}: ContextOptions): HostParts => {
	const {
		clock, logger, store, decode, protocol, metrics = createMetrics(),
	} = dependencies;
	const random = createRandom(getRandomSeed(settings.host, clock.now()));
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
	const versionBreaks = watchVersionBreaks({
		clock, versions, getSilence: () => Math.min(fleet.reportExchange.getShortestSilence(), fleet.view.getTimeSinceStoreContact(clock.monotonic())),
	});
	const isStopping = (): boolean => shutdown.since !== undefined;
	const onLoopFailure = (loop: string): void => {
		metrics.count('loop_failures_total', {loop});
	};

	const record = buildHostRecord(settings, clock.now());
	const fleet = joinFleet({
		record,
		knownPeers: settings.knownPeers,
		opened,
		store,
		decode,
		classifyRecord,
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
		onCrash({upstream, age}) {
			tracker.recordCrash(upstream, age);
		},
		getLimits: limits.getNews,
		onLimit: limits.applyNews,
		onReport(arrival, {host, builtAt}) {
			recordReportArrival(metrics, arrival);
			usage?.observeClock(host, builtAt);
		},
		onLoopFailure,
		onGap() {
			versions.restart(clock.monotonic());
		},
		onConfiguration: versionBreaks.applyConfiguration,
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
	const duties = createHostDuties(settings, dependencies, {
		record, fleet, metrics, onLoopFailure,
	});
	const usage = createHostUsage(settings, dependencies, {
		record, fleet, duties, metrics, onLoopFailure,
	});
	const links = createLinks(settings, {
		clock, logger, random, fleet, tracker, onLoad, onLoopFailure,
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
		freshness: createViewFreshness({
			clock, view: fleet.view, reportExchange: fleet.reportExchange, isConfigurationBehind: fleet.isConfigurationBehind, refresh: fleet.refresh, confirm: fleet.confirm,
		}),
		reportExchange: fleet.reportExchange,
		tracker,
		limits,
		rests,
		fragileUpstreams,
		links,
		hostAgents: createHostAgents(),
		getHostAddresses: () => [...fleet.getAvailableOthers(), ...fleet.getStoppingOthers()].map(({peers}) => peers),
		memory: createMemoryBudget({limit: settings.memory * answersPart, logger, metrics}),
		bodies: createBodyBudget({
			limit: settings.memory * bodiesPart, residentMemory: createResidentMemory(settings.memory), clock, logger, metrics,
		}),
		maxWaitingBytes: settings.memory * waitingPart,
		suspects,
		crashDetector: createCrashDetector(clock, links.isAwayForOthers),
		streamOrigins,
		versions,
		askForStreamOrigin: fleet.askForStreamOrigin,
		retryLimit: {...settings.retryLimit},
		duties,
		usage,
		countHosts: fleet.countHosts,
		isTrialHost: suspect => fleet.isAmongChosenHosts(suspect, 1),
		isStopping,
		getTimeSinceStop: () => shutdown.since === undefined ? undefined : clock.monotonic() - shutdown.since,
		getServingEnd: () => shutdown.since === undefined ? Number.POSITIVE_INFINITY : shutdown.since + getServingTime(shutdown.gracePeriod),
		canAccept: timeout => shutdown.since === undefined || canAcceptRequest(clock.monotonic() - shutdown.since, shutdown.gracePeriod, timeout),
	};
	const capacity = startHostCapacity(context, {
		record, fleet, loads, onLoopFailure,
	});
	return {
		context, fleet, usage, capacity,
	};
};
