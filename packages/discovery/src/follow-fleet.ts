import type {Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {ChangeFeed, Milliseconds, Snapshot} from '@gentianlift/types';
import type {FleetView} from './fleet-view.js';
import {createFreshReads} from './fresh-reads.js';
import {startLoop, type LoopOptions} from './loop.js';
import type {ChangeBatch} from './packet.js';
import type {ViewReading} from './state-reading.js';

/** Keeps a view of the fleet up to date. */
export type FleetFollower = {
	/** Reads the newest state now, from the store or else from another host; resolves after the attempt, successful or not. */
	refresh: () => Promise<void>;
	/** Reads what has changed in the store until now, in a call that begins only now; resolves with whether the store has answered. */
	confirm: () => Promise<boolean>;
	/** Returns the number of the store's replies that were larger than is read. */
	countOversizedReplies: () => number;
	stop: () => void;
};

/** Options of the follower. */
export type FleetFollowerOptions = {
	feed: ChangeFeed;
	view: FleetView;
	clock: Clock;
	logger: Logger;
	/** Reads the view of one randomly chosen host; resolves with undefined if it has nothing newer than the revision, or if it doesn't answer. */
	fetchFromPeer: (revision: number) => Promise<Snapshot | undefined>;
	/** Returns the newest revision that other hosts report. */
	getNewestRevision: () => number;
	/** Returns whether a relay sends this host all changes, so that it needn't watch the store itself. */
	hasRelayFeed: () => boolean;
	/** Called with the changes that the store has returned. */
	onChanges: (batch: ChangeBatch) => void;
	/** Called with the name of a loop, a step of which has failed. */
	onFailure?: LoopOptions['onFailure'];
};

/** Longest wait of one watch call; it bounds how long changes stay unnoticed when a watch stalls. */
const watchTimeout: Milliseconds = 2500;
/** Wait of a call that is to be answered at once. */
const noWait: Milliseconds = 1;
/** Delay after a failed call; it doubles with each consecutive failure, up to `maxBackoff`. */
const minBackoff: Milliseconds = 200;
const maxBackoff: Milliseconds = 800;
/** Delay after the store has returned more than is read, as each attempt costs up to all that is read. */
const oversizedBackoff: Milliseconds = 3000;
/** Interval at which this host's revision is compared with those that other hosts report. */
const compareInterval: Milliseconds = 150;
/** Interval at which a host with a relay feed checks that the feed continues. */
const feedCheckInterval: Milliseconds = 200;

/** Starts to follow the store, and other hosts while the store is unreachable. */
export const followFleet = ({
	feed, view, clock, logger, fetchFromPeer, getNewestRevision, hasRelayFeed, onChanges, onFailure,
}: FleetFollowerOptions): FleetFollower => {
	let needsSnapshot = true;
	let backoff = minBackoff;
	let oversizedReplies = 0;

	const recordOversized = (reply: 'snapshot' | 'changes'): void => {
		oversizedReplies += 1;
		logger.warn('store-too-large', {reply, known: view.getRevision()});
	};

	/** The reading of the whole state that is under way or, after a failed call, to be continued. */
	let reading: ViewReading | undefined;
	/** Resolves when the reading under way has ended or failed. */
	let readingEnd: Promise<boolean> | undefined;

	const continueReading = async (current: ViewReading): Promise<boolean> => {
		const outcome = await feed.readAll(current);
		view.recordContact(outcome.kind === 'found', clock.monotonic());
		switch (outcome.kind) {
			case 'found': {
				reading = undefined;
				if (view.canApply(outcome.snapshot, current)) {
					view.applySnapshot(outcome.snapshot, clock.monotonic(), current);
				}

				needsSnapshot = false;
				return true;
			}

			case 'oversized': {
				reading = undefined;
				recordOversized('snapshot');
				backoff = oversizedBackoff;
				return false;
			}

			case 'unavailable': {
				logger.debug('store-read-failed', {reason: outcome.reason, after: current.position.after});
				reading = current.position.after === '' ? undefined : current;
				return false;
			}
		}
	};

	/** Reads the whole state, together with those who have asked for it before; returns whether the store has answered. */
	const readAll = async (): Promise<boolean> => {
		reading ??= view.createReading();
		readingEnd ??= continueReading(reading).finally(() => {
			readingEnd = undefined;
		});
		return readingEnd;
	};

	/** Reads the changes since the last known one, and waits for one up to the limit if there is none; returns them unless the call failed, or everything has to be read as the history is lost or too long. */
	const readChanges = async (limit: Milliseconds): Promise<ChangeBatch | 'unavailable' | 'compacted' | 'oversized'> => {
		const after = view.getRevision();
		const outcome = await feed.waitForChanges(after, limit, view.createChangeSelector());
		switch (outcome.kind) {
			case 'changed': {
				view.recordContact(true, clock.monotonic());
				view.applyChanges(outcome.changes, outcome.revision, clock.monotonic());
				return {after, revision: outcome.revision, changes: outcome.changes};
			}

			case 'compacted': {
				logger.info('store-history-lost', {revision: view.getRevision()});
				needsSnapshot = true;
				return 'compacted';
			}

			case 'oversized': {
				recordOversized('changes');
				needsSnapshot = true;
				return 'oversized';
			}

			case 'unavailable': {
				logger.debug('store-watch-failed', {reason: outcome.reason});
				view.recordContact(false, clock.monotonic());
				return 'unavailable';
			}
		}
	};

	/** Waits for changes and passes them on; a store that has not answered is asked for an answer at once. */
	const watchStore = async (): Promise<boolean> => {
		const batch = await readChanges(view.isStoreReached() ? watchTimeout : noWait);
		if (typeof batch !== 'string') {
			onChanges(batch);
		}

		return batch !== 'unavailable' && batch !== 'oversized';
	};

	/** Reads what has changed until now, and everything only if the changes aren't known any more; returns whether the store has answered. */
	const readNewest = async (): Promise<boolean> => {
		const [needed, isBegun] = [needsSnapshot, reading !== undefined];
		const isRead = !needsSnapshot || await readAll();
		if (!isRead || (needed && !isBegun)) {
			return isRead;
		}

		// A reading that had begun before doesn't show the changes since.
		const batch = await readChanges(noWait);
		return batch === 'compacted' || batch === 'oversized' ? readAll() : batch !== 'unavailable';
	};

	/** Makes the next call to the store, which starts where the previous one ended; returns the pause until the one after. */
	const followStore = async (): Promise<Milliseconds> => {
		needsSnapshot ||= view.canBeCompleted();
		if (!needsSnapshot && hasRelayFeed()) {
			return feedCheckInterval;
		}

		const isAnswered = await (needsSnapshot ? readAll() : watchStore());
		const pause = isAnswered ? 0 : backoff;
		backoff = isAnswered ? minBackoff : Math.min(maxBackoff, backoff * 2);
		return pause;
	};

	const readFromPeer = async (): Promise<void> => {
		const snapshot = await fetchFromPeer(view.getRevision());
		if (snapshot !== undefined && snapshot.revision > view.getRevision()) {
			logger.info('view-from-peer', {revision: snapshot.revision, known: view.getRevision()});
			view.applySnapshot(snapshot, clock.monotonic());
		}
	};

	/** Reads the changes that other hosts know already: the watch of this host may have stalled, or the store refuses its calls. */
	const catchUp = async (): Promise<void> => {
		const newest = getNewestRevision();
		const mayRead = !hasRelayFeed() && view.isStoreReached();
		const isRead = mayRead && await readNewest() && (view.getRevision() >= newest || await readAll());
		if (!isRead) {
			await readFromPeer();
		}
	};

	let wasBehind = false;
	const compareRevisions = async (): Promise<Milliseconds> => {
		view.applyDeferredRemovals(clock.monotonic());
		// A host that is behind at one comparison only may just be receiving the changes.
		const isBehind = getNewestRevision() > view.getRevision();
		if (isBehind && (wasBehind || !view.isStoreReached())) {
			await catchUp();
		} else if (view.getRevision() === 0) {
			await readFromPeer();
		}

		wasBehind = isBehind;
		return compareInterval;
	};

	const loops = [startLoop('follow-store', followStore, {clock, logger, onFailure}), startLoop('compare-revisions', compareRevisions, {clock, logger, onFailure})];
	return {
		async refresh() {
			// While the store refuses the calls of this host, only other hosts can provide newer state.
			const hasRead = view.isStoreReached() && await readNewest();
			if (!hasRead) {
				await readFromPeer();
			}
		},
		confirm: createFreshReads(async () => view.isStoreReached() && readNewest()),
		countOversizedReplies: () => oversizedReplies,
		stop() {
			for (const loop of loops) {
				loop.stop();
			}
		},
	};
};
