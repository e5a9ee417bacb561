import type {Clock, Random} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {
	CrashSuspects, LimitNews, RoutingConfiguration, StartedStream, SuspectedCrash, Upstream, UpstreamKey,
} from '@gentianlift/routing';
import type {
	Address, ChangeFeed, Entry, HostId, KeyValueService, Zone,
} from '@gentianlift/types';
import type {DecodedEntry} from './decoded-entry.js';
import type {RecordClass} from './entry-classifier.js';
import {exchangeReports, type LoadReportExchange, type ReportArrival} from './exchange-reports.js';
import {createFleetView, type FleetView} from './fleet-view.js';
import {createConfigurationClient} from './configuration-calls.js';
import {followConfiguration, type ConfigurationFollower} from './follow-configuration.js';
import {followFleet, type FleetFollower} from './follow-fleet.js';
import {
	chooseHosts, getAvailableHosts, getStoppingHosts, selectHostsForCaller, type ObservedHost,
} from './host-list.js';
import {createHostMessages, type HostMessages, type ReceivingMessages} from './host-messages.js';
import type {HostRecord} from './host-record.js';
import {reportLoopFailure} from './loop.js';
import type {LoadReport, Prefill} from './load-report.js';
import type {LoadTracker} from './load-tracker.js';
import {findHostsAhead} from './hosts-ahead.js';
import {createPeerViewClient} from './peer-views.js';
import {createReachClient, type ReachClient} from './reach-calls.js';
import {createStreamOriginClient, type StreamOriginClient} from './stream-origin-calls.js';
import {applyRelayedChanges} from './relayed-changes.js';
import {registerHost, type HostRegistration} from './register-host.js';

/** The operations of the store, the key-value service, that a host of the fleet uses. */
export type FleetStore = ChangeFeed & Pick<KeyValueService, 'compareAndSwap' | 'grantLease' | 'renewLease' | 'endLease'>;

/** A host's membership in the fleet. */
export type Fleet = {
	view: FleetView;
	reportExchange: LoadReportExchange;
	messages: HostMessages;
	/** Whether another host reports a newer configuration than this one goes by. */
	isConfigurationBehind: ConfigurationFollower['isBehind'];
	/** Reads the newest state of the fleet and the newest configuration. */
	refresh: FleetFollower['refresh'];
	/** Reads what has changed in the store until now; resolves with whether the store has answered. */
	confirm: FleetFollower['confirm'];
	/** Returns the number of the store's replies that were larger than is read. */
	countOversizedReplies: FleetFollower['countOversizedReplies'];
	/** Asks other hosts for the origin of a stream. */
	askForStreamOrigin: StreamOriginClient['find'];
	/** Asks another host whether it reaches upstreams. */
	askForReach: ReachClient['ask'];
	registration: HostRegistration;
	/** Returns the number of hosts that share limits, this one included. */
	countHosts: () => number;
	/** Returns the other hosts that are neither silent nor stopping. */
	getAvailableOthers: () => HostRecord[];
	/** Returns the other hosts that are stopping but not silent. */
	getStoppingOthers: () => HostRecord[];
	/** Returns the hosts to list for a caller in the availability zone. */
	getHostsForCaller: (zone: Zone | undefined) => HostRecord[];
	/** Whether this host is among the `count` that all available hosts choose for a key. For a moment after a host has started or failed, more may be. */
	isAmongChosenHosts: (key: string, count: number) => boolean;
	/** Returns the `count` that all available hosts choose for a key, this host included, best first. */
	chooseHosts: (key: string, count: number) => HostId[];
};

/** Options of joining the fleet. */
export type FleetOptions = {
	/** Record of this host, as published to the others. */
	record: HostRecord;
	/** Addresses from which other hosts' views can be read before any host is known from the store. */
	knownPeers: readonly Address[];
	/** Resolves when this host listens on its addresses; it registers from then on. */
	opened: Promise<void>;
	store: FleetStore;
	/** Decodes an entry that the operators or an upstream have written. */
	decode: (entry: Entry) => DecodedEntry;
	/** Classifies an entry that neither of them has written. */
	classifyRecord: (entry: Entry) => RecordClass;
	clock: Clock;
	random: Random;
	logger: Logger;
	loads: LoadTracker;
	suspects: CrashSuspects;
	/** Whether this host is in a graceful shutdown. */
	isStopping: () => boolean;
	/** Called after the load of other hosts has changed. */
	onLoad: () => void;
	/** Called with each prompt that another host has sent to an upstream. */
	onPrefill: (prefill: Prefill) => void;
	/** Called with each stream that has begun at another host. */
	onStream: (stream: StartedStream) => void;
	/** Called with each crash of an upstream that another host reports, if it is news. */
	onCrash: (crash: SuspectedCrash) => void;
	/** Returns the limits that this host knows. */
	getLimits: () => LimitNews[];
	/** Called with each limit that another host reports. */
	onLimit: (news: LimitNews, from: HostId) => void;
	/** Called with the arrival of each report of another host, applied or not. */
	onReport: (arrival: ReportArrival, report: LoadReport) => void;
	/** Called with the name of a loop, a step of which has failed. */
	onLoopFailure: (loop: string) => void;
	/** Called with each newer configuration. */
	onConfiguration: (configuration: RoutingConfiguration) => void;
	/** Called when changes of the state were skipped, so that upstreams may have come and gone unnoticed. */
	onGap: () => void;
	/** Called with each incarnation of an upstream that is listed for the first time. */
	onListed: (upstream: Upstream) => void;
	/** Called with each incarnation of an upstream that is no longer listed. */
	onRemoved: (upstreamKey: UpstreamKey) => void;
	/** Called with each incarnation of an upstream that begins to leave. */
	onLeaving: (upstreamKey: UpstreamKey) => void;
};

type GetOtherHosts = () => readonly HostRecord[];

/** What the exchange of load reports works with. */
type ExchangeParts = {view: FleetView; getOthers: GetOtherHosts; onMessage: ReceivingMessages['receive']};

const startReportExchange = (options: FleetOptions, {view, getOthers, onMessage}: ExchangeParts): LoadReportExchange => {
	const {record} = options;
	return exchangeReports({
		own: record,
		getOthers,
		clock: options.clock,
		logger: options.logger,
		loads: options.loads,
		suspects: options.suspects,
		getRevision: view.getRevision,
		getConfigurationVersion: () => view.getRoutes()?.configuration.version,
		isStoreReached: () => view.isStoreReached() && view.getRevision() > 0,
		onLoad: options.onLoad,
		onPrefill: options.onPrefill,
		onStream: options.onStream,
		onCrash: options.onCrash,
		getLimits: options.getLimits,
		onLimit: options.onLimit,
		onLeaving(upstream, from) {
			view.markLeaving(upstream, from);
		},
		onReport: options.onReport,
		onChanges: batch => applyRelayedChanges(batch, view, options.clock.monotonic()),
		onMessage,
	});
};

/** Creates a function that returns all listed hosts but this one, and filters the list once for each change. */
const createGetOthers = ({record}: FleetOptions, view: FleetView): GetOtherHosts => {
	let known: {hosts: readonly HostRecord[]; others: readonly HostRecord[]} | undefined;
	return () => {
		const hosts = view.getHosts();
		if (known?.hosts !== hosts) {
			known = {hosts, others: hosts.filter(({host}) => host !== record.host)};
		}

		return known.others;
	};
};

/** Creates a function that returns all hosts, this one included, with what this host observes of them. */
const createObservation = ({record, isStopping}: FleetOptions, reportExchange: LoadReportExchange, getOthers: GetOtherHosts) => (): ObservedHost[] => {
	const isHostStopping = (host: HostId): boolean => host === record.host ? isStopping() : reportExchange.isStopping(host);
	return [record, ...getOthers()].map(other => ({
		record: other, silence: reportExchange.getSilence(other.host), isStopping: isHostStopping(other.host),
	}));
};

/** Registers the host, and starts to follow the fleet and to exchange load reports with its hosts. */
export const joinFleet = (options: FleetOptions): Fleet => {
	const {
		record, knownPeers, store, clock, random, logger,
	} = options;
	const view = createFleetView({
		decode: options.decode,
		classifyRecord: options.classifyRecord,
		logger,
		onGap: options.onGap,
		onConfiguration: options.onConfiguration,
		onListed: options.onListed,
		onRemoved: options.onRemoved,
		onLeaving: options.onLeaving,
	});
	const getOthers = createGetOthers(options, view);
	const messages = createHostMessages({
		own: record.host,
		getOthers,
		send(message, targets) {
			reportExchange.sendMessage(message, targets);
		},
		logger,
	});
	const reportExchange = startReportExchange(options, {view, getOthers, onMessage: messages.receive});
	const observe = createObservation(options, reportExchange, getOthers);
	const getAvailable = (): HostRecord[] => getAvailableHosts(observe(), record.host);
	const getPeerAddresses = (): Address[] => {
		const known = new Set([...knownPeers, ...getOthers().map(({peers}) => peers)]);
		known.delete(record.peers);
		return [...known];
	};

	const getAddressesAhead = (known: number): Address[] =>
		findHostsAhead(getOthers(), {known, zone: record.zone, getReported: reportExchange.getRevisionOf}).map(({peers}) => peers);
	const peerViewClient = createPeerViewClient({
		getAddresses: getPeerAddresses, getAddressesAhead, clock, random, logger,
	});
	const configurationFollower = followConfiguration({
		view,
		client: createConfigurationClient({getAddresses: getPeerAddresses, clock, random}),
		getAddresses: getPeerAddresses,
		getAddressesAhead: version => findHostsAhead(getOthers(), {
			known: version, zone: record.zone, getReported: reportExchange.getConfigurationVersionOf,
		}).map(({peers}) => peers),
		getNewestVersion: reportExchange.getNewestConfigurationVersion,
		clock,
		logger,
		onFailure: options.onLoopFailure,
	});
	const follower = followFleet({
		feed: store,
		view,
		clock,
		logger,
		fetchFromPeer: peerViewClient.fetchNewer,
		getNewestRevision: reportExchange.getNewestRevision,
		hasRelayFeed: reportExchange.hasRelayFeed,
		onChanges: reportExchange.sendChanges,
		onFailure: options.onLoopFailure,
	});
	return {
		// Requests are decided on by a configuration once no newer one is known to other hosts.
		view: {...view, getRoutes: () => configurationFollower.isConfirmed() ? view.getRoutes() : undefined},
		isConfigurationBehind: configurationFollower.isBehind,
		reportExchange,
		messages,
		async refresh() {
			try {
				await Promise.all([follower.refresh(), configurationFollower.refresh()]);
			} catch (error) {
				reportLoopFailure('refresh', error, {logger, onFailure: options.onLoopFailure});
			}
		},
		async confirm() {
			try {
				return await follower.confirm();
			} catch (error) {
				reportLoopFailure('confirm', error, {logger, onFailure: options.onLoopFailure});
				return false;
			}
		},
		countOversizedReplies: follower.countOversizedReplies,
		askForStreamOrigin: createStreamOriginClient({getAddresses: getPeerAddresses, clock, random}).find,
		askForReach: createReachClient(clock).ask,
		registration: registerHost({
			store, record, opened: options.opened, clock, logger, onFailure: options.onLoopFailure,
		}),
		countHosts: () => getOthers().length + 1,
		getAvailableOthers: () => getAvailable().filter(({host}) => host !== record.host),
		getStoppingOthers: () => getStoppingHosts(observe(), record.host),
		getHostsForCaller: zone => selectHostsForCaller(getAvailable(), zone, random),
		isAmongChosenHosts: (key, count) => chooseHosts(key, getAvailable(), count).includes(record.host),
		chooseHosts: (key, count) => chooseHosts(key, getAvailable(), count),
	};
};
