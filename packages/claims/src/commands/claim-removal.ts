import type {Cancel, Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, KeyValueService, Milliseconds} from '@gentianlift/types';
import {
	floorKey, readFloor, writeFloor, type Floor,
} from '../slots/floor.js';
import {claimLimits, type ClaimLimits} from '../slots/limits.js';
import {getBucketPrefix} from '../slots/slot.js';

/** What the removal of old claims needs. */
export type ClaimRemovalOptions = {
	clock: Clock;
	metrics: Metrics;
	self: HostId;
	keyValue: KeyValueService;
	getOwner: (ownerKey: string) => HostId | undefined;
	limits?: ClaimLimits;
};

/** Removes buckets of timed keys that are past the retention. One host does it; more than one at a time do no harm. */
export type ClaimRemoval = {
	/** Removes some of the old buckets; gets the number of values removed. */
	remove: () => Promise<number>;
	start: () => Cancel;
};

const minute = 60_000;
const runInterval: Milliseconds = minute;
/** Age past the retention at which a bucket is closed, for hosts whose clocks are behind. */
const closeMargin: Milliseconds = 60 * minute;
const bucketsPerRun = 60;

/** Creates the removal of a host. */
export const createClaimRemoval = ({
	clock, metrics, self, keyValue, getOwner, limits = claimLimits,
}: ClaimRemovalOptions): ClaimRemoval => {
	const removeBucket = async (bucket: number): Promise<number | undefined> => {
		const list = await keyValue.list(getBucketPrefix(bucket));
		if (list.kind === 'unavailable') {
			return undefined;
		}

		for (const {key, revision} of list.entries) {
			// eslint-disable-next-line no-await-in-loop -- Removals are spread over time to spare the service.
			const outcome = await keyValue.remove(key, revision);
			metrics.count('claim_removals', {outcome: outcome.kind});
			if (outcome.kind !== 'applied') {
				return undefined;
			}
		}

		return list.entries.length;
	};

	/** Closes the buckets that are old enough, before anything in them is removed: a claim that comes later finds them closed. */
	const close = async (): Promise<(Floor & {revision: number}) | undefined> => {
		const floor = await readFloor(keyValue);
		if (floor.kind === 'unavailable') {
			return undefined;
		}

		const end = Math.floor((clock.now() - limits.retention - closeMargin) / limits.bucketDuration);
		if (floor.before >= end) {
			return floor;
		}

		const next: Floor = {before: end, removedBefore: floor.revision === 0 ? end : floor.removedBefore};
		const outcome = await writeFloor(keyValue, next, floor.revision);
		return outcome.kind === 'applied' ? {...next, revision: outcome.revision} : undefined;
	};

	const remove = async (): Promise<number> => {
		const floor = await close();
		if (floor === undefined) {
			return 0;
		}

		const end = Math.min(floor.before, floor.removedBefore + bucketsPerRun);
		let removed = 0;
		let bucket = floor.removedBefore;
		for (; bucket < end; bucket++) {
			// eslint-disable-next-line no-await-in-loop -- As above.
			const count = await removeBucket(bucket);
			if (count === undefined) {
				break;
			}

			removed += count;
		}

		if (bucket > floor.removedBefore) {
			await writeFloor(keyValue, {before: floor.before, removedBefore: bucket}, floor.revision);
		}

		return removed;
	};

	let isRunning = false;
	const run = async (): Promise<void> => {
		if (isRunning || getOwner(floorKey) !== self) {
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
			const wait = (): void => {
				cancel = clock.after(runInterval, () => {
					wait();
					void run();
				});
			};

			wait();
			return () => {
				cancel();
			};
		},
	};
};
