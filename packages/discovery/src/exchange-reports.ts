import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {
	CrashSuspects, GoodEnd, LimitNews, SuspectedCrash, StartedStream, UpstreamKey,
} from '@gentianlift/routing';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';
import {createHostStatusTracker, type HostStatus} from './host-status.js';
import type {LoadReport, Prefill} from './load-report.js';
import type {LoadContribution, LoadTracker} from './load-tracker.js';
import type {ChangeBatch, Message} from './packet.js';
import {createPendingChanges, type ReportedChanges} from './pending-changes.js';
import {startReportBroadcaster, type ReportBroadcaster} from './report-broadcast.js';
import {createReportedCrashes} from './reported-crashes.js';

/** Exchanges load reports with the other hosts. */
export type LoadReportExchange = {
	/** Adds a change to the load that this host causes, and schedules a report to the others. */
	addLoad: (upstream: UpstreamKey, change: LoadContribution) => void;
	/** Reports that a prompt was sent to an upstream. */
	addPrefill: (prefill: Prefill) => void;
	/** Reports that a stream has begun. */
	addStream: (stream: StartedStream) => void;
	/** Reports a crash of an upstream that a suspect may have caused, and what speaks for the suspect. */
	addCrash: (crash: SuspectedCrash) => void;
	/** Reports that a request of a suspect has ended well. */
	addGoodEnd: (goodEnd: GoodEnd) => void;
	/** Reports that an upstream has named, changed or ended a limit. */
	addLimit: (news: LimitNews) => void;
	/** Reports that an upstream has said that it leaves. */
	addLeaving: (upstream: UpstreamKey) => void;
	/** Reports at once that this host is shutting down. */
	markStopping: () => void;
	/** Returns the newest revision of the store that recent reports name; 0 without a recent report. */
	getNewestRevision: () => number;
	/** Returns the revision of the store that a host's last report names; 0 without a recent report. */
	getRevisionOf: (host: HostId) => number;
	/** Returns the newest configuration version that recent reports name; undefined without one. */
	getNewestConfigurationVersion: () => number | undefined;
	/** Returns the configuration version that a host's last report names; undefined without a recent report. */
	getConfigurationVersionOf: (host: HostId) => number | undefined;
	/** Returns the time since the last report of any other host; infinite if there was none. */
	getShortestSilence: () => Milliseconds;
	/** Returns the time since the last report of a host; infinite if there was none. */
	getSilence: (host: HostId) => Milliseconds;
	/** Returns whether a host has reported that it is shutting down. */
	isStopping: (host: HostId) => boolean;
	/** Sends changes of the store to the hosts of which this one is the relay. */
	sendChanges: (batch: ChangeBatch) => void;
	sendMessage: ReportBroadcaster['sendMessage'];
	/** Returns whether a relay currently sends this host the changes of the store. */
	hasRelayFeed: () => boolean;
	close: () => void;
};

/** Arrival of another host's report: whether it was applied, or ignored as a newer one was known; `age` is undefined for a report that doesn't say when it was built. */
export type ReportArrival = {outcome: 'applied' | 'out-of-order'; age: Milliseconds | undefined};

/** Options of the exchange. */
export type ReportExchangeOptions = {
	/** This host. */
	own: HostRecord;
	getOthers: () => readonly HostRecord[];
	clock: Clock;
	logger: Logger;
	loads: LoadTracker;
	suspects: CrashSuspects;
	getRevision: () => number;
	/** Returns the version of the configuration that this host goes by; undefined before the first. */
	getConfigurationVersion: () => number | undefined;
	/** Returns whether this host reaches the store. */
	isStoreReached: () => boolean;
	/** Called with each prompt that another host has sent to an upstream. */
	onPrefill: (prefill: Prefill) => void;
	/** Called with each stream that has begun at another host. */
	onStream: (stream: StartedStream) => void;
	/** Returns the limits that this host knows, which full reports repeat. */
	getLimits: () => LimitNews[];
	/** Called with each limit that another host reports. */
	onLimit: (news: LimitNews, from: HostId) => void;
	/** Called with each crash of an upstream that another host reports, if it is news. */
	onCrash: (crash: SuspectedCrash) => void;
	/** Called with each upstream of which another host reports that it leaves. */
	onLeaving: (upstream: UpstreamKey, from: HostId) => void;
	/** Called after the load of other hosts has changed. */
	onLoad: () => void;
	/** Called with the arrival of each report of another host, applied or not. */
	onReport?: (arrival: ReportArrival, report: LoadReport) => void;
	/** Called with the changes of the store that a relay has sent; returns whether they continue what this host knows, or lead up to it. */
	onChanges: (batch: ChangeBatch) => boolean;
	/** Called with each message that another host has sent to this one. */
	onMessage?: (from: HostId, message: Message) => void;
};

/** Delay in which changes are collected into one report. */
const batchDelay: Milliseconds = 3;
/** Largest fleet whose reports need no minimum spacing. */
const maxUnspacedHosts = 16;
/** Minimum spacing of one host's reports of changes, multiplied by the number of hosts, so that the total rate of these reports doesn't depend on the fleet's size. */
const reportSpacingPerHost: Milliseconds = 0.8;
/** Time in which a report reaches the other hosts of a fleet without relays, and with relays, in milliseconds. */
const transferDelays = {direct: 10, relayed: 30} as const;
/** Interval of full reports, which repeat loads that have changed lately. */
const fullReportInterval: Milliseconds = 500;
/** Age of a host's last report up to which its status counts as current. */
const statusLifetime: Milliseconds = 2000;

/** Returns the minimum spacing of one host's reports of changes. */
const getReportSpacing = (hosts: number): Milliseconds => hosts > maxUnspacedHosts ? hosts * reportSpacingPerHost : 0;

/** Returns the mean time after which the other hosts of a fleet know a change of a host's load. */
export const getMeanReportDelay = (hosts: number): Milliseconds =>
	(hosts > maxUnspacedHosts ? transferDelays.relayed : transferDelays.direct) + (getReportSpacing(hosts) / 2);

/** Starts to exchange load reports with the other hosts. */
export const exchangeReports = (options: ReportExchangeOptions): LoadReportExchange => {
	const {
		clock, logger, loads, suspects,
	} = options;
	const {host, incarnation} = options.own;
	const statuses = createHostStatusTracker();
	const pending = createPendingChanges();
	let isStopping = false;
	let isScheduled = false;
	let sentAt = Number.NEGATIVE_INFINITY;
	let sequence = 0;

	/** Returns the time after which a recent report was received. */
	const getRecentLimit = (): Milliseconds => clock.monotonic() - statusLifetime;

	const getRecentStatus = (id: HostId): HostStatus | undefined => {
		const status = statuses.get(id);
		return status !== undefined && status.reportedAt > getRecentLimit() ? status : undefined;
	};

	/** Returns the changes that a report names; a full one repeats what speaks against blocked suspects and the limits, as hosts that have just started don't know it. */
	const getChanges = (isFull: boolean): ReportedChanges => {
		const now = clock.monotonic();
		const changes = pending.getChanges({ownLoads: loads.getOwnLoads(), isFull, now});
		const repeated = isFull ? suspects.getRepeatedCrashes(now).map(crash => ({...crash, age: Math.round(crash.age)})) : [];
		return {...changes, crashes: [...changes.crashes, ...repeated], limits: [...changes.limits, ...(isFull ? options.getLimits() : [])]};
	};

	const buildReport = (isFull: boolean): LoadReport => {
		sequence += 1;
		return {
			host, incarnation, sequence, revision: options.getRevision(), configurationVersion: options.getConfigurationVersion(), isStopping, builtAt: clock.now(), ...getChanges(isFull),
		};
	};

	const send = (isFull: boolean): void => {
		sentAt = clock.monotonic();
		broadcaster.send(buildReport(isFull));
		pending.markReported(isFull);
	};

	const getDelay = (): Milliseconds => {
		const spacing = getReportSpacing(options.getOthers().length + 1);
		return Math.max(batchDelay, sentAt + spacing - clock.monotonic());
	};

	const schedule = (): void => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		clock.after(getDelay(), () => {
			isScheduled = false;
			send(false);
		});
	};

	const reportedCrashes = createReportedCrashes({
		logger, suspects, pending, onCrash: options.onCrash, onPending: schedule,
	});

	/** Returns the age of a report; at least 0, as the wall clocks of hosts differ and a new report may seem to come from the future. */
	const getAge = ({builtAt}: LoadReport): Milliseconds | undefined =>
		builtAt === undefined ? undefined : Math.max(0, clock.now() - builtAt);

	/** Records the arrival of another host's report in its status; returns false if a newer report of that host is known. */
	const acceptReport = (report: LoadReport, now: Milliseconds): boolean => {
		const isAccepted = statuses.apply(report, now);
		options.onReport?.({outcome: isAccepted ? 'applied' : 'out-of-order', age: getAge(report)}, report);
		return isAccepted;
	};

	const applyReport = (report: LoadReport): void => {
		const now = clock.monotonic();
		if (report.host === host) {
			return;
		}

		// Where a stream began stays true, however late the report comes.
		for (const stream of report.streams) {
			options.onStream(stream);
		}

		reportedCrashes.apply(report, now);
		for (const news of report.limits) {
			options.onLimit(news, report.host);
		}

		for (const upstream of report.leaving) {
			options.onLeaving(upstream, report.host);
		}

		if (!acceptReport(report, now)) {
			return;
		}

		loads.setReported(report.host, report.incarnation, report.loads, now);
		options.onLoad();
		for (const prefill of report.prefills) {
			options.onPrefill(prefill);
		}
	};

	const broadcaster = startReportBroadcaster({
		own: options.own, getOthers: options.getOthers, clock, logger, onReport: applyReport, onChanges: options.onChanges, onMessage: options.onMessage,
	});
	const {every} = clock;
	const cancel = every(fullReportInterval, () => {
		loads.dropSilentHosts(clock.monotonic());
		send(true);
		if (options.isStoreReached()) {
			// An empty batch tells the group that the relay feed is alive.
			const revision = options.getRevision();
			broadcaster.sendChanges({after: revision, revision, changes: []});
		}
	});

	return {
		addLoad(upstream, change) {
			loads.addOwnLoad(upstream, change, clock.monotonic());
			pending.addLoad(upstream);
			schedule();
		},
		addPrefill(prefill) {
			pending.addPrefill(prefill);
			schedule();
		},
		addStream(stream) {
			pending.addStream(stream);
			schedule();
		},
		addLimit(news) {
			pending.addLimit(news, clock.monotonic());
			schedule();
		},
		addLeaving(upstream) {
			pending.addLeaving(upstream);
			schedule();
		},
		addGoodEnd(goodEnd) {
			pending.addGoodEnd(goodEnd, clock.monotonic());
			schedule();
		},
		addCrash(crash) {
			const now = clock.monotonic();
			pending.addCrash(crash, now);
			reportedCrashes.reportGoodEnd(crash, now);
			schedule();
		},
		markStopping() {
			isStopping = true;
			send(true);
		},
		getNewestRevision: () => Math.max(0, statuses.getHighest(getRecentLimit(), ({revision}) => revision) ?? 0),
		getNewestConfigurationVersion: () => statuses.getHighest(getRecentLimit(), ({configurationVersion}) => configurationVersion),
		getConfigurationVersionOf: id => getRecentStatus(id)?.configurationVersion,
		getRevisionOf: id => getRecentStatus(id)?.revision ?? 0,
		getShortestSilence: () => clock.monotonic() - statuses.getLatestReportTime(),
		getSilence: id => clock.monotonic() - (statuses.get(id)?.reportedAt ?? Number.NEGATIVE_INFINITY),
		isStopping: id => statuses.get(id)?.isStopping ?? false,
		sendChanges: broadcaster.sendChanges,
		sendMessage: broadcaster.sendMessage,
		hasRelayFeed: broadcaster.hasRelayFeed,
		close() {
			cancel();
			broadcaster.close();
		},
	};
};
