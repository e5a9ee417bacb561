import type {Entry} from '@gentianlift/types';
import type {DecodedEntry} from './decoded-entry.js';

/** Longest entry that is decoded, in characters: twice what the store accepts, as what is decoded takes many times as much memory. */
const maxEntryLength = 2 * 1024 * 1024;
/** Longest key, in characters; those of the store are shorter. */
export const maxKeyLength = 1024;

/** Whether an entry is longer than any that the store accepts. */
export const isTooLong = ({key, value}: Entry): boolean => key.length + value.length > maxEntryLength;

/** Makes a decoder of entries one for which no entry fails: an entry that can't be decoded costs no other. */
export const createSafeDecoder = (decode: (entry: Entry) => DecodedEntry) => (entry: Entry): DecodedEntry => {
	if (isTooLong(entry)) {
		return {kind: 'unreadable', reason: 'too long'};
	}

	try {
		return decode(entry);
	} catch (error) {
		return {kind: 'unreadable', reason: String(error)};
	}
};
