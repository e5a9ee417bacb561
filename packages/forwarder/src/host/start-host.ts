import type {Socket} from 'node:net';
import {createPeerServer, getEra, type HostRecord} from '@gentianlift/discovery';
import type {Milliseconds, Zone} from '@gentianlift/types';
import {createForwarder} from '../forward.js';
import {listen} from '../callers/listen.js';
import {findStreamOrigin} from '../resume/resumption.js';
import type {ConnectionError} from '../callers/caller-connections.js';
import {createCallerServer} from '../callers/serve-callers.js';
import type {HostDependencies, HostSettings} from './host-settings.js';
import {createContext, type Shutdown} from './create-context.js';
import {stopHost} from './stop-host.js';

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
	/** Shuts the host down gracefully, once; resolves when its process may end. */
	stop: () => Promise<void>;
};

/** Longest time to live of a list of addresses; short, so that callers stop using a stopping host soon. */
const maxAddressListTtl: Milliseconds = 1000;
/** Callers may use a list for up to this multiple of its time to live. */
const staleUseFactor = 3;

/** Time for which a stopping host must still serve to take calls that other hosts forward. */
const minForwardedTime: Milliseconds = 1000;

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
	await Promise.all([listen(callers.server, settings.callers), listen(peers, settings.peers)]);
	logger.info('started', {host: settings.host, zone: settings.zone, callers: settings.callers});

	const announce = async (): Promise<void> => {
		fleet.reportExchange.markStopping();
		await fleet.registration.markStopping();
	};

	const shutDown = async (): Promise<void> => {
		shutdown.since = clock.monotonic();
		await stopHost({
			clock, logger, getGracePeriod: () => shutdown.gracePeriod, maxAddressUse: addressListTtl * staleUseFactor,
			countOpenRequests: callers.countOpenRequests, answerRequests: callers.answerRequests, cutRequests: callers.cutRequests, announce, release: fleet.registration.end,
		});
	};

	let stopped: Promise<void> | undefined;
	return {
		isReady,
		getHostsForCaller: fleet.getHostsForCaller,
		get addressTtl() {
			return addressListTtl;
		},
		getMetricsPage() {
			context.metrics.setGauge('queue_length', forwarder.getQueueLength());
			context.metrics.setGauge('answer_bytes_held', context.memory.getHeldBytes());
			context.metrics.setGauge('upstream_limits', context.limits.countLimits());
			context.metrics.setGauge('upstreams_resting', context.rests.countResting());
			context.metrics.setGauge('services_cut', context.links.countCut());
			context.metrics.setGauge('configuration_version', fleet.view.getRoutes()?.configuration.version ?? 0);
			context.metrics.setGauge('configuration_version_elsewhere', fleet.reportExchange.getNewestConfigurationVersion() ?? 0);
			context.metrics.setGauge('entries_unreadable', fleet.view.countInvalidEntries());
			context.metrics.setGauge('entries_held', fleet.view.countEntries());
			context.metrics.setGauge('view_incomplete', fleet.view.isIncomplete() ? 1 : 0);
			context.metrics.setGauge('store_replies_oversized_total', fleet.countOversizedReplies());
			context.metrics.setGauge('store_era', getEra(fleet.view.getRevision()));
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
		async stop() {
			stopped ??= shutDown();
			await stopped;
		},
	};
};
