import type {KeyValueService, WriteOutcome} from '@gentianlift/types';
import {z} from 'zod';

/** Key of the bucket floor in the key-value service. */
export const bucketFloorKey = 'claims/floor';

/** Low-water mark of the buckets of timed keys, below which claims are removed. */
export type BucketFloor = {
	/** Buckets before this one are closed: no request with a key in them starts. */
	before: number;
	/** Buckets before this one have been removed. */
	removedBefore: number;
};

/** Result of reading the bucket floor. */
export type BucketFloorRead
	= | (BucketFloor & {kind: 'read'; revision: number})
		| {kind: 'unavailable'; reason: string};

const bucketFloorSchema: z.ZodType<BucketFloor> = z.object({before: z.number(), removedBefore: z.number()});

const parseBucketFloor = (text: string): BucketFloor | undefined => {
	try {
		return bucketFloorSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
};

/** Reads the bucket floor; while none is stored, no bucket is closed. */
export const readBucketFloor = async (keyValue: KeyValueService): Promise<BucketFloorRead> => {
	const outcome = await keyValue.read(bucketFloorKey);
	switch (outcome.kind) {
		case 'absent': {
			return {
				kind: 'read', before: 0, removedBefore: 0, revision: 0,
			};
		}

		case 'found': {
			const floor = parseBucketFloor(outcome.entry.value);
			return floor === undefined
				? {kind: 'unavailable', reason: 'the floor is unreadable'}
				: {kind: 'read', ...floor, revision: outcome.entry.revision};
		}

		case 'unavailable': {
			return outcome;
		}
	}
};

/** Writes the bucket floor if its revision is `expected`. */
export const writeBucketFloor = async (keyValue: KeyValueService, floor: BucketFloor, expected: number): Promise<WriteOutcome> =>
	keyValue.compareAndSwap({key: bucketFloorKey, value: JSON.stringify(floor), expected});
