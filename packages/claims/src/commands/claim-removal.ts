import type {Cancel, Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, KeyValueService, Milliseconds} from '@gentianlift/types';
import {
	removalProgressKey, readRemovalProgress, writeRemovalProgress, type RemovalProgress,
} from '../slots/removal-progress.js';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {getBucketPrefix} from '../slots/slot.js';

/** Dependencies and options of the removal of expired claims. */
export type ClaimRemovalOptions = {
	clock: Clock;
	metrics: Metrics;
	self: HostId;
	keyValue: KeyValueService;
	/** Returns the host that removes claims, given the key of the removal progress; undefined when none is known. */
	getOwner: (ownerKey: string) => HostId | undefined;
	limits?: ClaimLimits;
};

/** Removes the buckets of timed keys that are past the retention. One host does so at a time; concurrent removals are safe. Slots of untimed keys are never removed. */
export type ClaimRemoval = {
	/** Removes a limited number of old buckets; returns the number of entries removed. */
	remove: () => Promise<number>;
	/** Starts periodic removal; a run does nothing unless this host is the owner for the key of the removal progress. */
	start: () => Cancel;
};

const minute = 60_000;
const runInterval: Milliseconds = minute;
/** Additional age after the retention before a bucket is closed; tolerates hosts whose clocks are behind. */
const clockSkewMargin: Milliseconds = 60 * minute;
const maxBucketsPerRun = 60;

/** Creates the claim removal of a host; it runs only after its start. */
export const createClaimRemoval = ({
	clock, metrics, self, keyValue, getOwner, limits = claimLimits,
}: ClaimRemovalOptions): ClaimRemoval => {
	/** Removes the slots of a bucket; returns their number, or undefined if a call failed. */
	const removeBucket = async (bucket: number): Promise<number | undefined> => {
		const list = await keyValue.list(getBucketPrefix(bucket));
		if (list.kind === 'unavailable') {
			return undefined;
		}

		for (const {key, revision} of list.entries) {
			// eslint-disable-next-line no-await-in-loop -- Sequential removals limit the load on the key-value service.
			const outcome = await keyValue.remove(key, revision);
			metrics.count('claim_removals', {outcome: outcome.kind});
			if (outcome.kind !== 'applied') {
				return undefined;
			}
		}

		return list.entries.length;
	};

	/** Closes the buckets that are old enough and returns the removal progress, or undefined if a call failed. Closing precedes removal, so that a late claim for a removed bucket is refused. */
	const closeOldBuckets = async (): Promise<(RemovalProgress & {revision: number}) | undefined> => {
		const progress = await readRemovalProgress(keyValue);
		if (progress.kind === 'unavailable') {
			return undefined;
		}

		const endBucket = Math.floor((clock.now() - limits.retention - clockSkewMargin) / limits.bucketDuration);
		if (progress.before >= endBucket) {
			return progress;
		}

		const next: RemovalProgress = {before: endBucket, removedBefore: progress.revision === 0 ? endBucket : progress.removedBefore};
		const outcome = await writeRemovalProgress(keyValue, next, progress.revision);
		return outcome.kind === 'applied' ? {...next, revision: outcome.revision} : undefined;
	};

	const remove = async (): Promise<number> => {
		const progress = await closeOldBuckets();
		if (progress === undefined) {
			return 0;
		}

		const endBucket = Math.min(progress.before, progress.removedBefore + maxBucketsPerRun);
		let removed = 0;
		let bucket = progress.removedBefore;
		for (; bucket < endBucket; bucket++) {
			// eslint-disable-next-line no-await-in-loop -- Sequential removals limit the load on the key-value service.
			const count = await removeBucket(bucket);
			if (count === undefined) {
				break;
			}

			removed += count;
		}

		if (bucket > progress.removedBefore) {
			await writeRemovalProgress(keyValue, {before: progress.before, removedBefore: bucket}, progress.revision);
		}

		return removed;
	};

	let isRunning = false;
	const run = async (): Promise<void> => {
		if (isRunning || getOwner(removalProgressKey) !== self) {
			return;
		}

		isRunning = true;
		await remove();
		isRunning = false;
	};

	return {
		remove,
		start() {
			let cancel: Cancel;
			const scheduleRun = (): void => {
				cancel = clock.after(runInterval, () => {
					scheduleRun();
					void run();
				});
			};

			scheduleRun();
			return () => {
				cancel();
			};
		},
	};
};
