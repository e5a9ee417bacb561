import {createRandom, type Clock} from '@gentianlift/clock';
import {
	createLoadBook, createViewServer, joinFleet, type Fleet, type FleetItem, type FleetStore, type HostRecord,
} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {createCrashSuspects, type RetryBound} from '@gentianlift/routing';
import type {
	Address, Entry, HostId, Milliseconds, Zone,
} from '@gentianlift/types';
import {createCrashDetector} from './crash-detector.js';
import {createForwarder} from './forward.js';
import {listen} from './listen.js';
import type {Protocol} from './protocol.js';
import {createCallerServer} from './serve-callers.js';
import {canAcceptRequest, stopHost} from './stop-host.js';
import type {ForwarderContext} from './context.js';
import {createUpstreamTracker} from './upstream-tracker.js';

/** Settings of a host. */
export type HostSettings = {
	host: HostId;
	zone: Zone;
	/** Processor of the host, in cores of usual speed. */
	strength: number;
	/** Listener of callers' requests. */
	callers: Address;
	/** Listener of other hosts' questions. */
	peers: Address;
	/** Where load notes of other hosts come in, over UDP. */
	notes: Address;
	/** Listeners for hosts of some other hosts, which may be gone. */
	knownPeers: Address[];
	/** Time between the signal to stop and the kill. */
	grace: Milliseconds;
	/** How long callers may keep a list of addresses. */
	addressLife: Milliseconds;
	retryBound: RetryBound;
};

/** What a host works with, beside its settings. */
export type HostDependencies = {
	clock: Clock;
	logger: Logger;
	store: FleetStore;
	/** Reads an entry of the operators or of an upstream. */
	decode: (entry: Entry) => FleetItem;
	protocol: Protocol;
};

/** A running host. */
export type Host = {
	/** Whether it takes requests. */
	isReady: () => boolean;
	/** Hosts to send a caller in the availability zone to. */
	getOffered: (zone: Zone | undefined) => HostRecord[];
	/** How long callers are to keep the answer. */
	offerLife: Milliseconds;
	getMetricsPage: () => string;
	/** Takes over the grace, the life of addresses and the bound on retries; all addresses stay until the next start. */
	reload: (settings: HostSettings) => void;
	/** Shuts the host down gracefully; resolves when its process may end. */
	stop: () => Promise<void>;
};

/** Longest time for which callers are told to keep a list of addresses; short, so that they leave a host soon. */
const maxAddressListTtl: Milliseconds = 1000;
/** Callers may keep a list for this many times its life. */
const staleUseFactor = 3;
/** Seeds of random numbers are below this. */
const seedRange = 2 ** 31;

const buildHostRecord = (settings: HostSettings, incarnation: number): HostRecord => ({
	host: settings.host,
	incarnation,
	zone: settings.zone,
	callers: settings.callers,
	peers: settings.peers,
	notes: settings.notes,
	strength: settings.strength,
	isStopping: false,
});

/** Says how far a graceful shutdown has come. */
type Shutdown = {since: Milliseconds | undefined; gracePeriod: Milliseconds};

const createContext = (settings: HostSettings, {clock, logger, store, decode, protocol}: HostDependencies, shutdown: Shutdown, onLoad: () => void): {context: ForwarderContext; fleet: Fleet} => {
	const random = createRandom(clock.now() % seedRange);
	const loads = createLoadBook();
	const board = createUpstreamTracker({clock, logger, loads});
	const suspects = createCrashSuspects();
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
		onReading({upstream, model, parts}) {
			board.recordPrefill(upstream, {model, parts});
		},
		onRemoved: board.remove,
	});
	const context: ForwarderContext = {
		clock,
		random,
		logger,
		metrics: createMetrics(),
		protocol,
		zone: settings.zone,
		view: fleet.view,
		reports: fleet.notes,
		tracker: board,
		suspects,
		crashDetector: createCrashDetector(clock),
		retryBound: {...settings.retryBound},
		countHosts: fleet.countHosts,
		isStopping,
		canAccept: timeout => shutdown.since === undefined || canAcceptRequest(clock.monotonic() - shutdown.since, shutdown.gracePeriod, timeout),
	};
	return {context, fleet};
};

/** Starts a host: joins the fleet and listens to callers and other hosts. Rejects if an address can't be used. */
export const startHost = async (settings: HostSettings, parts: HostDependencies): Promise<Host> => {
	const {clock, logger} = parts;
	const shutdown: Shutdown = {since: undefined, gracePeriod: settings.grace};
	let offerLife = Math.min(settings.addressLife, maxAddressListTtl);
	const {context, fleet} = createContext(settings, parts, shutdown, () => {
		forwarder.onLoadChange();
	});
	const forwarder = createForwarder(context);
	const callers = createCallerServer({context, forwarder, refresh: fleet.refresh});
	await Promise.all([listen(callers.server, settings.callers), listen(createViewServer(fleet.view), settings.peers)]);
	logger.info('started', {host: settings.host, zone: settings.zone, callers: settings.callers});

	const announce = async (): Promise<void> => {
		fleet.notes.markStopping();
		await fleet.registration.markStopping();
	};

	return {
		isReady: () => shutdown.since === undefined && fleet.view.getRoutes() !== undefined,
		getOffered: fleet.getOffered,
		get offerLife() {
			return offerLife;
		},
		getMetricsPage: context.metrics.getPage,
		reload(next) {
			shutdown.gracePeriod = next.grace;
			offerLife = Math.min(next.addressLife, maxAddressListTtl);
			Object.assign(context.retryBound, next.retryBound);
			logger.info('reloaded', {
				grace: next.grace, offerLife, retryRatio: next.retryBound.ratio, retryMinimum: next.retryBound.minimum, hasOtherAddress: next.callers !== settings.callers,
			});
		},
		async stop() {
			if (shutdown.since !== undefined) {
				return;
			}

			shutdown.since = clock.monotonic();
			await stopHost({
				clock, logger, gracePeriod: shutdown.gracePeriod, addressTtl: offerLife * staleUseFactor, countOpenRequests: callers.countOpenRequests, announce, release: fleet.registration.end,
			});
		},
	};
};
