import {
	addRankTokens, noRankTokens, type RankTokens, type UpstreamKey, type UpstreamLoad,
} from '@gentianlift/routing';
import type {HostId, Incarnation, Milliseconds} from '@gentianlift/types';

/** Load that the requests of one host put on an upstream, or a change of that load. */
export type LoadContribution = Omit<UpstreamLoad, 'progressAt'>;

/** Load that one host puts on one upstream, as carried by its load reports. */
export type ReportedLoad = LoadContribution & {upstream: UpstreamKey};

/** Tracks the load of each upstream, by the host whose requests cause it. */
export type LoadTracker = {
	/** Adds a change to the load that this host causes. */
	addOwnLoad: (upstream: UpstreamKey, change: LoadContribution, now: Milliseconds) => void;
	getOwnLoads: () => ReportedLoad[];
	/** Returns the loads that the other hosts have reported lately. */
	getReportedLoads: () => ReadonlyMap<HostId, ReadonlyMap<UpstreamKey, LoadContribution>>;
	/** Records the load that another host reports; each reported load replaces the known one of the same upstream. */
	setReported: (host: HostId, incarnation: Incarnation, loads: readonly ReportedLoad[], now: Milliseconds) => void;
	/** Removes the load of hosts that have sent no report within the silence timeout. */
	dropSilentHosts: (now: Milliseconds) => void;
	/** Returns the prompt tokens of this host's queued requests for the upstream. */
	getOwnQueuedTokens: (upstream: UpstreamKey) => RankTokens;
	/** Returns the number of this host's requests that run on the upstream. */
	getOwnRunning: (upstream: UpstreamKey) => number;
	/** Returns the sum over all hosts. */
	getTotalLoad: (upstream: UpstreamKey) => UpstreamLoad;
	/** Removes all load of an upstream that is no longer listed. */
	removeUpstream: (upstream: UpstreamKey) => void;
	/** Returns the number of upstreams that have load, and of other hosts that report some. */
	countTracked: () => {upstreams: number; hosts: number};
};

type ReportingHost = {incarnation: Incarnation; reportedAt: Milliseconds; loads: Map<UpstreamKey, LoadContribution>};

/** Time without a report after which the load of another host no longer counts. */
const silenceTimeout: Milliseconds = 2000;
const zeroLoad: LoadContribution = {
	running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: noRankTokens,
};
const zeroTotal: UpstreamLoad = {...zeroLoad, progressAt: 0};

const addLoads = (one: LoadContribution, other: LoadContribution): LoadContribution => ({
	running: one.running + other.running,
	unreadTokens: one.unreadTokens + other.unreadTokens,
	latencySensitiveStreams: one.latencySensitiveStreams + other.latencySensitiveStreams,
	queuedTokens: addRankTokens(one.queuedTokens, other.queuedTokens),
});

/** Limits loads to 0 or more: a request may end after its upstream was removed, which subtracts load that is no longer counted. */
const clampToZero = ({
	running, unreadTokens, latencySensitiveStreams, queuedTokens,
}: LoadContribution): LoadContribution => ({
	running: Math.max(0, running),
	unreadTokens: Math.max(0, unreadTokens),
	latencySensitiveStreams: Math.max(0, latencySensitiveStreams),
	queuedTokens,
});

const isZero = ({running, unreadTokens, latencySensitiveStreams, queuedTokens}: LoadContribution): boolean =>
	running === 0 && unreadTokens === 0 && latencySensitiveStreams === 0 && queuedTokens.size === 0;

/** Most hosts whose loads are kept, and most upstreams of each: more than a fleet has. */
const limits = {hosts: 2000, upstreamsPerHost: 4000} as const;

/** Creates a tracker without any load. */
export const createLoadTracker = (): LoadTracker => {
	const ownLoads = new Map<UpstreamKey, LoadContribution>();
	const reportingHosts = new Map<HostId, ReportingHost>();
	const totals = new Map<UpstreamKey, UpstreamLoad>();

	const updateTotal = (upstream: UpstreamKey, before: LoadContribution, after: LoadContribution, now: Milliseconds): void => {
		const known = totals.get(upstream) ?? zeroTotal;
		// Fewer unread tokens mean that a prefill has finished; the first ones mean that a prefill starts.
		const hasProgress = after.unreadTokens < before.unreadTokens || known.unreadTokens === 0;
		const total: UpstreamLoad = {
			running: known.running + after.running - before.running,
			unreadTokens: known.unreadTokens + after.unreadTokens - before.unreadTokens,
			latencySensitiveStreams: known.latencySensitiveStreams + after.latencySensitiveStreams - before.latencySensitiveStreams,
			queuedTokens: addRankTokens(addRankTokens(known.queuedTokens, before.queuedTokens, -1), after.queuedTokens),
			progressAt: hasProgress ? now : known.progressAt,
		};
		if (isZero(total)) {
			totals.delete(upstream);
		} else {
			totals.set(upstream, total);
		}
	};

	const removeLoads = ({loads}: ReportingHost, now: Milliseconds): void => {
		for (const [upstream, load] of loads) {
			updateTotal(upstream, load, zeroLoad, now);
		}
	};

	/** Records the load that a host puts on an upstream; one of zero is as none, so that what hosts report of upstreams that are gone isn't kept. */
	const setLoad = ({loads}: ReportingHost, {upstream, ...load}: ReportedLoad, now: Milliseconds): void => {
		const before = loads.get(upstream);
		if (before === undefined && loads.size >= limits.upstreamsPerHost) {
			return;
		}

		updateTotal(upstream, before ?? zeroLoad, load, now);
		if (isZero(load)) {
			loads.delete(upstream);
		} else {
			loads.set(upstream, load);
		}
	};

	return {
		addOwnLoad(upstream, change, now) {
			const before = ownLoads.get(upstream) ?? zeroLoad;
			const after = clampToZero(addLoads(before, change));
			ownLoads.set(upstream, after);
			updateTotal(upstream, before, after, now);
		},
		getOwnLoads: () => [...ownLoads].map(([upstream, load]) => ({upstream, ...load})),
		getReportedLoads: () => new Map([...reportingHosts].map(([host, {loads}]) => [host, loads])),
		setReported(host, incarnation, loads, now) {
			const known = reportingHosts.get(host);
			if (known === undefined && reportingHosts.size >= limits.hosts) {
				return;
			}

			if (known !== undefined && known.incarnation !== incarnation) {
				removeLoads(known, now);
			}

			const record = known?.incarnation === incarnation ? known : {incarnation, reportedAt: now, loads: new Map<UpstreamKey, LoadContribution>()};
			record.reportedAt = now;
			for (const load of loads) {
				setLoad(record, load, now);
			}

			reportingHosts.set(host, record);
		},
		dropSilentHosts(now) {
			for (const [host, record] of reportingHosts) {
				if (now - record.reportedAt > silenceTimeout) {
					removeLoads(record, now);
					reportingHosts.delete(host);
				}
			}
		},
		getOwnQueuedTokens: upstream => ownLoads.get(upstream)?.queuedTokens ?? noRankTokens,
		getOwnRunning: upstream => ownLoads.get(upstream)?.running ?? 0,
		getTotalLoad: upstream => totals.get(upstream) ?? zeroTotal,
		countTracked: () => ({upstreams: totals.size, hosts: reportingHosts.size}),
		removeUpstream(upstream) {
			ownLoads.delete(upstream);
			totals.delete(upstream);
			for (const {loads} of reportingHosts.values()) {
				loads.delete(upstream);
			}
		},
	};
};
