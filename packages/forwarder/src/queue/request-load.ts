import type {LoadContribution, LoadReportExchange} from '@gentianlift/discovery';
import {noRankTokens, type RankTokens, type UpstreamKey} from '@gentianlift/routing';

/** The load that a request adds to its upstream. */
export type RequestLoad = {
	/** Records that the prefill of the prompt is complete. */
	finishPrefill: () => void;
	/** Records that the request has ended. */
	end: () => void;
};

const noChange: LoadContribution = {
	running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: noRankTokens,
};

/** Changes the number of uncached prompt tokens queued at this host for an upstream, as reported to the other hosts; the numbers of the change may be negative. */
export const addQueuedTokens = (reportExchange: Pick<LoadReportExchange, 'addLoad'>, upstream: UpstreamKey, change: RankTokens): void => {
	reportExchange.addLoad(upstream, {...noChange, queuedTokens: change});
};

/** Adds a request to the load of an upstream; `latencySensitive` is 1 if prefills of long prompts beside it would make it miss its target for the interval between events. */
export const startRequestLoad = (reportExchange: Pick<LoadReportExchange, 'addLoad'>, upstream: UpstreamKey, unreadTokens: number, latencySensitive: 0 | 1): RequestLoad => {
	let unread = unreadTokens;
	const add = (change: Partial<LoadContribution>): void => {
		reportExchange.addLoad(upstream, {...noChange, ...change});
	};

	add({running: 1, unreadTokens, latencySensitiveStreams: latencySensitive});
	const finishPrefill = (): void => {
		if (unread > 0) {
			add({unreadTokens: -unread});
			unread = 0;
		}
	};

	return {
		finishPrefill,
		end() {
			finishPrefill();
			add({running: -1, latencySensitiveStreams: -latencySensitive});
		},
	};
};
