import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import {startSuspensionDetector} from './suspension-detector.js';

/** Tells whether this host's view of the fleet is the newest. */
export type ViewFreshness = {
	/** Whether the view holds now: the key-value service or another host has just confirmed it, no host is known to be ahead, and the process has not just been suspended. */
	isCurrent: () => boolean;
	/** Whether another host reports a newer configuration. */
	isConfigurationBehind: () => boolean;
	/** Waits until this host goes by the newest configuration that another one reports, within a bounded time; resolves at once if it does. */
	waitForConfiguration: () => Promise<void>;
	/** Whether a configuration may be in force that this host doesn't know: another host reports a newer one, or nobody confirms the view. */
	isConfigurationUncertain: () => boolean;
	/** Reads the newest state if the view isn't current; resolves, within a bounded time, to whether it is. */
	ensureCurrent: () => Promise<boolean>;
	/** Reads the newest state unless the view is current or was read recently; resolves within a bounded time, successful or not. Concurrent calls share one read. */
	refreshIfStale: () => Promise<void>;
	/** Reads the changes up to now from the key-value service; resolves, within a bounded time, to whether it has answered and the view is current. */
	confirm: () => Promise<boolean>;
};

/** Longest wait for the newest state before a refusal that it might change. */
const refreshTimeout: Milliseconds = 400;
/** Age up to which the state counts as current. */
const maxFreshAge: Milliseconds = 200;
/** Age up to which a report of another host confirms the state. */
const maxConfirmationAge: Milliseconds = 600;

/** Time in which a change that other hosts know arrives by itself. */
const arrivalTime: Milliseconds = 40;

/** Longest wait for a current view, and the interval at which it is checked. */
const maxCurrentWait: Milliseconds = 800;
const currentCheckInterval: Milliseconds = 50;

/** Sources of what a host knows of the newest state. */
export type FreshnessSources = Pick<ForwarderContext, 'clock' | 'view' | 'reportExchange'> & {
	/** Whether another host reports a newer configuration. */
	isConfigurationBehind: () => boolean;
	/** Reads the newest state of the fleet, if a source is reachable. */
	refresh: () => Promise<void>;
	/** Reads the changes up to now from the key-value service; resolves with whether it has answered. */
	confirm: () => Promise<boolean>;
};

/** Creates it from its sources. */
export const createViewFreshness = ({
	clock, view, reportExchange, isConfigurationBehind, refresh, confirm,
}: FreshnessSources): ViewFreshness => {
	const suspension = startSuspensionDetector(clock);
	let pendingRefresh: Promise<void> | undefined;
	let refreshedAt = Number.NEGATIVE_INFINITY;

	const isAhead = (revision: number): boolean => revision > view.getRevision();

	const isConfirmed = (): boolean =>
		reportExchange.getShortestSilence() < maxConfirmationAge || view.getTimeSinceStoreContact(clock.monotonic()) < maxFreshAge;

	const isCurrent = (): boolean =>
		isConfirmed() && !isAhead(reportExchange.getNewestRevision()) && !isConfigurationBehind() && !suspension.hasJustResumed();

	const startRefresh = async (): Promise<void> => {
		pendingRefresh ??= refresh().finally(() => {
			refreshedAt = clock.monotonic();
			pendingRefresh = undefined;
		});
		await Promise.race([pendingRefresh, clock.sleep(refreshTimeout)]);
	};

	const refreshIfStale = async (): Promise<void> => {
		if (!isCurrent() && clock.monotonic() - refreshedAt >= maxFreshAge) {
			await startRefresh();
		}
	};

	return {
		isCurrent,
		isConfigurationBehind,
		isConfigurationUncertain: () => isConfigurationBehind() || !isConfirmed(),
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
		async waitForConfiguration() {
			if (!isConfigurationBehind()) {
				return;
			}

			await clock.sleep(arrivalTime);
			if (isConfigurationBehind()) {
				await refreshIfStale();
			}
		},
		refreshIfStale,
		async confirm() {
			const isAnswered = await Promise.race([confirm(), clock.sleep(refreshTimeout).then(() => false)]);
			return isAnswered && isCurrent();
		},
	};
};
