import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from './context.js';
import {startSuspensionDetector} from './suspension-detector.js';

/** Tells whether this host's view of the fleet is the newest. */
export type ViewFreshness = {
	/** Whether the view was confirmed recently, by the key-value service or by other hosts that know of no newer revision. */
	isConfirmed: () => boolean;
	/** Whether what the view says of upstreams holds now: it was confirmed, and the process has not just been suspended. A quiet watch of the key-value service confirms it, too. */
	isCurrent: () => boolean;
	/** Reads the newest state if the view isn't current; resolves, within a bounded time, to whether it is. */
	ensureCurrent: () => Promise<boolean>;
	/** Reads the newest state unless the view was confirmed or read recently; resolves within a bounded time, successful or not. Concurrent calls share one read. */
	refreshIfStale: () => Promise<void>;
};

/** Longest wait for the newest state before a refusal that it might change. */
const refreshTimeout: Milliseconds = 400;
/** Age up to which the state counts as current. */
const maxFreshAge: Milliseconds = 200;
/** Age up to which a report of another host confirms the state. */
const maxConfirmationAge: Milliseconds = 600;

/** Age up to which a contact with the key-value service confirms the upstreams; longer than a quiet watch lasts. */
const maxQuietAge: Milliseconds = 3000;
/** Longest wait for a current view, and the interval at which it is checked. */
const maxCurrentWait: Milliseconds = 800;
const currentCheckInterval: Milliseconds = 50;

/** Creates it; `refresh` reads the newest state of the fleet, if a source is reachable. */
export const createViewFreshness = ({clock, view, reportExchange}: Pick<ForwarderContext, 'clock' | 'view' | 'reportExchange'>, refresh: () => Promise<void>): ViewFreshness => {
	const suspension = startSuspensionDetector(clock);
	let pendingRefresh: Promise<void> | undefined;
	let refreshedAt = Number.NEGATIVE_INFINITY;

	const isConfirmedByHosts = (): boolean =>
		reportExchange.getNewestRevision() <= view.getRevision() && reportExchange.getShortestSilence() < maxConfirmationAge;

	const hasStoreContact = (maxAge: Milliseconds): boolean => view.getTimeSinceStoreContact(clock.monotonic()) < maxAge;

	const isConfirmed = (): boolean => isConfirmedByHosts() || hasStoreContact(maxFreshAge);

	const isBehind = (): boolean => reportExchange.getNewestRevision() > view.getRevision();

	const isCurrent = (): boolean =>
		!suspension.hasJustResumed() && !isBehind() && (isConfirmedByHosts() || hasStoreContact(maxQuietAge));

	const startRefresh = async (): Promise<void> => {
		pendingRefresh ??= (async () => {
			await refresh();
			refreshedAt = clock.monotonic();
			pendingRefresh = undefined;
		})();
		await Promise.race([pendingRefresh, clock.sleep(refreshTimeout)]);
	};

	return {
		isConfirmed,
		isCurrent,
		async ensureCurrent() {
			const deadline = clock.monotonic() + maxCurrentWait;
			if (!isCurrent()) {
				await startRefresh();
			}

			while (!isCurrent() && clock.monotonic() < deadline) {
				// eslint-disable-next-line no-await-in-loop -- The view is checked until it is current.
				await clock.sleep(currentCheckInterval);
			}

			return isCurrent();
		},
		async refreshIfStale() {
			if (!isConfirmed() && clock.monotonic() - refreshedAt >= maxFreshAge) {
				await startRefresh();
			}
		},
	};
};
