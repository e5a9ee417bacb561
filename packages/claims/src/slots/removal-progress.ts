import type {KeyValueService, WriteOutcome} from '@gentianlift/types';
import {z} from 'zod';

/** Key of the removal progress in the key-value service. */
export const removalProgressKey = 'claims/floor';

/** Progress of removing the buckets of timed keys: which are closed, and which of these are already removed. */
export type RemovalProgress = {
	/** Buckets before this one are closed: no request with a key in them starts. */
	before: number;
	/** Buckets before this one have been removed. */
	removedBefore: number;
};

/** Result of reading the removal progress. */
export type RemovalProgressRead
	= | (RemovalProgress & {kind: 'read'; revision: number})
		| {kind: 'unavailable'; reason: string};

const removalProgressSchema: z.ZodType<RemovalProgress> = z.object({before: z.number(), removedBefore: z.number()});

const parseRemovalProgress = (text: string): RemovalProgress | undefined => {
	try {
		return removalProgressSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
};

/** Reads the removal progress; while none is stored, no bucket is closed. */
export const readRemovalProgress = async (keyValue: KeyValueService): Promise<RemovalProgressRead> => {
	const outcome = await keyValue.read(removalProgressKey);
	switch (outcome.kind) {
		case 'absent': {
			return {
				kind: 'read', before: 0, removedBefore: 0, revision: 0,
			};
		}

		case 'found': {
			const progress = parseRemovalProgress(outcome.entry.value);
			return progress === undefined
				? {kind: 'unavailable', reason: 'the floor is unreadable'}
				: {kind: 'read', ...progress, revision: outcome.entry.revision};
		}

		case 'unavailable': {
			return outcome;
		}
	}
};

/** Writes the removal progress if its revision is `expected`. */
export const writeRemovalProgress = async (keyValue: KeyValueService, progress: RemovalProgress, expected: number): Promise<WriteOutcome> =>
	keyValue.compareAndSwap({key: removalProgressKey, value: JSON.stringify(progress), expected});
