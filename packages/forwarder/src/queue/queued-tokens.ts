import {
	addRankTokens, getRankChange, getUpstreamKey, noRankTokens, type Candidate, type RankTokens, type UpstreamKey,
} from '@gentianlift/routing';
import type {Rank} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import {addQueuedTokens} from './request-load.js';

/** Uncached prompt tokens of this host's queued calls, by the upstream that they wait for and their rank. */
export type QueuedTokens = Map<UpstreamKey, RankTokens>;

/** Adds a call of a rank that waits for an upstream. */
export const addWaitingCall = (queuedTokens: QueuedTokens, rank: Rank, {upstream, uncachedTokens}: Candidate): void => {
	const key = getUpstreamKey(upstream);
	queuedTokens.set(key, addRankTokens(queuedTokens.get(key) ?? noRankTokens, new Map([[rank, uncachedTokens]])));
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
