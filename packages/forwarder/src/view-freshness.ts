import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from './context.js';

/** Tells whether this host's view of the fleet is the newest. */
export type ViewFreshness = {
	/** Whether the view was confirmed recently, by the key-value service or by other hosts that know of no newer revision. */
	isConfirmed: () => boolean;
	/** Reads the newest state unless the view was confirmed or read recently; resolves within a bounded time, successful or not. Concurrent calls share one read. */
	refreshIfStale: () => Promise<void>;
};

/** Longest wait for the newest state before a refusal that it might change. */
const refreshTimeout: Milliseconds = 400;
/** Age up to which the state counts as current. */
const maxFreshAge: Milliseconds = 200;
/** Age up to which a report of another host confirms the state. */
const maxConfirmationAge: Milliseconds = 600;

/** Creates it; `refresh` reads the newest state of the fleet, if a source is reachable. */
export const createViewFreshness = ({clock, view, reportExchange}: Pick<ForwarderContext, 'clock' | 'view' | 'reportExchange'>, refresh: () => Promise<void>): ViewFreshness => {
	let pendingRefresh: Promise<void> | undefined;
	let refreshedAt = Number.NEGATIVE_INFINITY;

	const isConfirmed = (): boolean => {
		const isConfirmedByHosts = reportExchange.getNewestRevision() <= view.getRevision() && reportExchange.getShortestSilence() < maxConfirmationAge;
		return isConfirmedByHosts || view.getTimeSinceStoreContact(clock.monotonic()) < maxFreshAge;
	};

	return {
		isConfirmed,
		async refreshIfStale() {
			if (isConfirmed() || clock.monotonic() - refreshedAt < maxFreshAge) {
				return;
			}

			pendingRefresh ??= (async () => {
				await refresh();
				refreshedAt = clock.monotonic();
				pendingRefresh = undefined;
			})();
			await Promise.race([pendingRefresh, clock.sleep(refreshTimeout)]);
		},
	};
};
