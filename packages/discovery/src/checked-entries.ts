import {
	isJsonObject, type Change, type Entry, type Snapshot,
} from '@gentianlift/types';

/** Whether a value from another host is an entry of the store. */
export const isEntry = (value: unknown): value is Entry =>
	isJsonObject(value) && typeof value.key === 'string' && typeof value.value === 'string' && Number.isSafeInteger(value.revision);

/** Whether a value from another host is a change of the store. */
export const isChange = (value: unknown): value is Change => {
	if (!isJsonObject(value)) {
		return false;
	}

	return value.kind === 'written' ? isEntry(value.entry) : value.kind === 'removed' && typeof value.key === 'string' && Number.isSafeInteger(value.revision);
};

/** Whether a value from another host is a state of the store, all of whose entries can be read. */
export const isSnapshot = (value: unknown): value is Snapshot =>
	isJsonObject(value) && Number.isSafeInteger(value.revision) && Array.isArray(value.entries) && value.entries.every(entry => isEntry(entry));

/** Returns the revision of a change. */
export const getChangeRevision = (change: Change): number => change.kind === 'written' ? change.entry.revision : change.revision;
