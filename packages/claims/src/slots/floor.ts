import type {KeyValueService, WriteOutcome} from '@gentianlift/types';
import {z} from 'zod';

/** Key of the floor in the key-value service. */
export const floorKey = 'claims/floor';

/** Buckets up to which claims were removed. */
export type Floor = {
	/** Buckets before this one are closed: no claim in them starts. */
	before: number;
	/** Buckets before this one are removed. */
	removedBefore: number;
};

/** Result of reading the floor. */
export type FloorRead
	= | (Floor & {kind: 'read'; revision: number})
		| {kind: 'unavailable'; reason: string};

const floorSchema: z.ZodType<Floor> = z.object({before: z.number(), removedBefore: z.number()});

const parseFloor = (text: string): Floor | undefined => {
	try {
		return floorSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
};

/** Reads the floor; without one no bucket is closed. */
export const readFloor = async (keyValue: KeyValueService): Promise<FloorRead> => {
	const outcome = await keyValue.read(floorKey);
	switch (outcome.kind) {
		case 'absent': {
			return {
				kind: 'read', before: 0, removedBefore: 0, revision: 0,
			};
		}

		case 'found': {
			const floor = parseFloor(outcome.entry.value);
			return floor === undefined
				? {kind: 'unavailable', reason: 'the floor is unreadable'}
				: {kind: 'read', ...floor, revision: outcome.entry.revision};
		}

		case 'unavailable': {
			return outcome;
		}
	}
};

/** Writes the floor if its revision is `expected`. */
export const writeFloor = async (keyValue: KeyValueService, floor: Floor, expected: number): Promise<WriteOutcome> =>
	keyValue.compareAndSwap({key: floorKey, value: JSON.stringify(floor), expected});
