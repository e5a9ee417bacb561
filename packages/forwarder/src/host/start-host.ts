import type {Socket} from 'node:net';
import {createPeerServer, type HostRecord} from '@gentianlift/discovery';
import type {Milliseconds, Zone} from '@gentianlift/types';
import {createForwarder} from '../forward.js';
import {openListener, type Listener} from '../process/open-listener.js';
import {recordProcessMemory} from '../process/process-metrics.js';
import {findStreamOrigin} from '../resume/resumption.js';
import type {ConnectionError} from '../callers/caller-connections.js';
import {createCallerServer} from '../callers/serve-callers.js';
import {limitConnections} from '../callers/connection-limit.js';
import {spreadReads} from '../callers/spread-reads.js';
import {limitUnfinishedHeads} from '../callers/unfinished-heads.js';
import {getDescriptorShares} from '../process/descriptor-shares.js';
import type {HostDependencies, HostSettings} from './host-settings.js';
import {createContext, type Shutdown} from './create-context.js';
import {watchEventLoopDelay} from './event-loop-delay.js';
import {stopHost} from './stop-host.js';
import {recordStoreState} from './store-metrics.js';

/** A host. */
export type Host = {
	/** Listens for callers and other hosts, waits for addresses that are in use, and registers the host; resolves then, or when the host stops. Rejects if an address is invalid or forbidden. */
	open: () => Promise<void>;
	/** Whether the host is ready for requests: it listens, has a configuration and isn't stopping. */
	isReady: () => boolean;
	/** Returns the hosts that a caller in the availability zone is directed to. */
	getHostsForCaller: (zone: Zone | undefined) => HostRecord[];
	/** Time to live of the list of hosts that callers are given: the configured one, capped at `maxAddressListTtl`. */
	addressTtl: Milliseconds;
	/** Returns the metrics in the text format that is served to scrapers. */
	getMetricsPage: () => string;
	/** Applies the grace period, the time to live of addresses and the limit on retries; changed addresses apply at the next start. */
	reload: (settings: HostSettings) => void;
	/** Returns the time from the signal to stop until the process is killed. */
	getGracePeriod: () => Milliseconds;
	/** Shuts the host down gracefully, once; from when it resolves on, the host passes no request on, and its process may end as soon as none is open. */
	stop: () => Promise<void>;
	/** Returns the number of requests that are being handled or whose answers aren't written completely. */
	countOpenRequests: () => number;
	/** Returns the number of answers that are still to be written, or may be on their way to their callers. */
	countPendingAnswers: () => number;
	/** Refuses new connections of callers from now on, as the process is about to end. */
	closeListener: () => void;
	/** Logs the calls that are open, as the process is about to end over them. */
	reportOpenCalls: () => void;
};

/** Longest time to live of a list of addresses; short, so that callers stop using a stopping host soon. */
const maxAddressListTtl: Milliseconds = 1000;
/** Callers may use a list for up to this multiple of its time to live. */
const staleUseFactor = 3;

/** Time for which a stopping host must still serve to take calls that other hosts forward. */
const minForwardedTime: Milliseconds = 1000;

/** Creates a host, which follows the fleet at once and serves once it is opened. It can be stopped at any time. */
export const createHost = (settings: HostSettings, dependencies: HostDependencies): Host => {
	const {clock, logger} = dependencies;
	const createdAt = clock.monotonic();
	const shutdown: Shutdown = {since: undefined, gracePeriod: settings.gracePeriod};
	let markOpened = (): void => undefined;
	const opened = new Promise<void>(resolve => {
		markOpened = resolve;
	});
	let isOpen = false;
	let addressListTtl = Math.min(settings.addressTtl, maxAddressListTtl);
	const {
		context, fleet, usage, capacity,
	} = createContext(settings, dependencies, {
		shutdown,
		opened,
		onLoad() {
			forwarder.onLoadChange();
		},
	});
	watchEventLoopDelay({...clock, logger, metrics: context.metrics});
	const forwarder = createForwarder(context);
	const callers = createCallerServer({context, forwarder});
	const isReady = (): boolean => isOpen && shutdown.since === undefined && fleet.view.getRoutes() !== undefined;
	const takesForwardedCalls = (): boolean => fleet.view.getRoutes() !== undefined && context.canAccept(minForwardedTime);
	const peers = createPeerServer({
		clock,
		view: fleet.view,
		findStreamOrigin: async query => findStreamOrigin(query, context),
		getReach: async query => ({isReached: takesForwardedCalls() && await context.links.reaches(query), openRequests: callers.countOpenRequests()}),
		answerForwardedCall: callers.answerForwardedCall,
	});
	peers.on('clientError', (error: ConnectionError, socket) => {
		callers.handleConnectionError(error, socket as Socket);
	});

	limitConnections(callers.server, {
		limit: getDescriptorShares(settings.descriptors).callers, name: 'callers', logger, metrics: context.metrics,
	});
	spreadReads(callers.server);
	for (const server of [callers.server, peers]) {
		limitUnfinishedHeads(server, {clock, logger, metrics: context.metrics});
	}

	const isStopping = (): boolean => shutdown.since !== undefined;
	const openServer = async (listener: Listener): Promise<void> => openListener(listener, {clock, logger, isCancelled: isStopping});
	const open = async (): Promise<void> => {
		await Promise.all([
			openServer({name: 'callers', server: callers.server, address: settings.callers}),
			openServer({name: 'peers', server: peers, address: settings.peers}),
		]);
		if (!isStopping()) {
			isOpen = true;
			markOpened();
			logger.info('started', {
				host: settings.host, zone: settings.zone, callers: settings.callers, after: Math.round(clock.monotonic() - createdAt),
			});
		}
	};

	const announce = async (): Promise<void> => {
		fleet.reportExchange.markStopping();
		await Promise.all([fleet.registration.markStopping(), context.duties?.stop()]);
	};

	const release = async (): Promise<void> => {
		usage?.stop();
		capacity?.stop();
		await fleet.registration.end();
	};

	const shutDown = async (): Promise<void> => {
		shutdown.since = clock.monotonic();
		await stopHost({
			clock, logger, getGracePeriod: () => shutdown.gracePeriod, maxAddressUse: isOpen ? addressListTtl * staleUseFactor : 0,
			announce, release, ...callers,
		});
	};

	let stopped: Promise<void> | undefined;
	return {
		open,
		isReady,
		getHostsForCaller: fleet.getHostsForCaller,
		get addressTtl() {
			return addressListTtl;
		},
		getMetricsPage() {
			recordProcessMemory(context.metrics);
			context.metrics.setGauge('queue_length', forwarder.getQueueLength());
			context.metrics.setGauge('requests_read_ahead', callers.countReadAhead());
			context.metrics.setGauge('answer_bytes_held', context.memory.getHeldBytes());
			context.metrics.setGauge('request_body_bytes_held', context.bodies.getHeldBytes());
			context.metrics.setGauge('requests_unfinished', context.bodies.countUnfinished());
			context.metrics.setGauge('requests_open', callers.countOpenRequests());
			context.metrics.setGauge('upstream_limits', context.limits.countLimits());
			context.metrics.setGauge('upstreams_resting', context.rests.countResting());
			context.metrics.setGauge('services_cut', context.links.countCut());
			context.metrics.setGauge('configuration_version', fleet.view.getRoutes()?.configuration.version ?? 0);
			context.metrics.setGauge('configuration_version_elsewhere', fleet.reportExchange.getNewestConfigurationVersion() ?? 0);
			recordStoreState(context.metrics, fleet);
			context.metrics.setGauge('upstreams_avoided', context.tracker.countAvoided());
			return context.metrics.renderPrometheusText();
		},
		reload(next) {
			// The platform may kill a host that is stopping by the one or the other.
			shutdown.gracePeriod = shutdown.since === undefined ? next.gracePeriod : Math.min(shutdown.gracePeriod, next.gracePeriod);
			addressListTtl = Math.min(next.addressTtl, maxAddressListTtl);
			Object.assign(context.retryLimit, next.retryLimit);
			logger.info('reloaded', {
				grace: next.gracePeriod, offerLife: addressListTtl, retryRatio: next.retryLimit.ratio, retryMinimum: next.retryLimit.minimum, hasOtherAddress: next.callers !== settings.callers,
			});
		},
		getGracePeriod: () => shutdown.gracePeriod,
		async stop() {
			stopped ??= shutDown();
			await stopped;
		},
		countOpenRequests: callers.countOpenRequests,
		countPendingAnswers: callers.countPendingAnswers,
		closeListener: callers.closeListener,
		reportOpenCalls: callers.reportOpenCalls,
	};
};

/** Starts a host: joins the fleet and listens for callers and other hosts. Rejects if an address is invalid or forbidden. */
export const startHost = async (settings: HostSettings, dependencies: HostDependencies): Promise<Host> => {
	const host = createHost(settings, dependencies);
	await host.open();
	return host;
};
