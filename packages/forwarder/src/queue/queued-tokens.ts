import {
	getRankChange, noRankTokens, type RankTokens, type UpstreamKey,
} from '@gentianlift/routing';
import type {Rank} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import {addQueuedTokens} from './request-load.js';

/** Uncached prompt tokens of this host's queued calls. */
export type QueuedTokens = {
	/** By the upstream that the calls wait for, and their rank. */
	byUpstream: Map<UpstreamKey, Map<Rank, number>>;
	/** Sums over all upstreams. */
	byRank: Map<Rank, number>;
};

/** Creates queued tokens without calls. */
export const createQueuedTokens = (): QueuedTokens => ({byUpstream: new Map(), byRank: new Map()});

const addTokens = (sums: Map<Rank, number>, rank: Rank, tokens: number): void => {
	sums.set(rank, (sums.get(rank) ?? 0) + tokens);
};

/** Adds a call of a rank that waits for an upstream; one without uncached tokens only names the upstream. */
export const addWaitingCall = ({byUpstream, byRank}: QueuedTokens, rank: Rank, upstream: UpstreamKey, uncachedTokens: number): void => {
	const ofUpstream = byUpstream.get(upstream) ?? new Map<Rank, number>();
	byUpstream.set(upstream, ofUpstream);
	if (uncachedTokens > 0) {
		addTokens(ofUpstream, rank, uncachedTokens);
		addTokens(byRank, rank, uncachedTokens);
	}
};

/** Reports this host's queued tokens to the others. */
export type QueuedTokenReports = {
	/** Reports large changes since the last report, and always that a rank has none left. */
	report: (queuedTokens: ReadonlyMap<UpstreamKey, RankTokens>) => void;
	/** Whether the last report named upstreams for which calls wait. */
	hasReported: () => boolean;
};

/** Smallest change of a rank's tokens queued for an upstream that is reported to other hosts. */
const minReportedTokenChange = 3000;

/** Creates the reports of a host without queued calls. */
export const createQueuedTokenReports = ({tracker, reportExchange}: Pick<ForwarderContext, 'tracker' | 'reportExchange'>): QueuedTokenReports => {
	/** Upstreams for which queued tokens were reported. */
	let reportedUpstreams = new Set<UpstreamKey>();

	return {
		report(queuedTokens) {
			for (const key of new Set([...reportedUpstreams, ...queuedTokens.keys()])) {
				const change = getRankChange(tracker.getReportedQueuedTokens(key), queuedTokens.get(key) ?? noRankTokens, minReportedTokenChange);
				if (change.size > 0) {
					addQueuedTokens(reportExchange, key, change);
				}
			}

			reportedUpstreams = new Set(queuedTokens.keys());
		},
		hasReported: () => reportedUpstreams.size > 0,
	};
};
