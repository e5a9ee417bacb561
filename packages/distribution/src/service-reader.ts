import type {Clock} from '@gentianlift/clock';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import type {Contact} from './contact.js';
import type {Holder} from './holder.js';
import {waitAtMost} from './loop.js';
import {currentKey} from './store-keys.js';

/** What a read of the service brought. */
export type ReadResult = 'newer' | 'same' | 'absent' | 'unavailable';

/** Reads the newest version from the service. */
export type ServiceReader = () => Promise<ReadResult>;

/** What a reader needs. */
export type ReaderOptions = {
	clock: Clock;
	keyValue: Pick<KeyValueService, 'read'>;
	holder: Holder;
	contact: Contact;
	limit: Milliseconds;
};

/** Creates a reader that offers what it reads to the holder. */
export const createServiceReader = ({clock, keyValue, holder, contact, limit}: ReaderOptions): ServiceReader => async () => {
	const askedAt = clock.monotonic();
	const call = await waitAtMost(clock, keyValue.read(currentKey), limit);
	if (call.kind === 'silent' || call.value.kind === 'unavailable') {
		return 'unavailable';
	}

	contact.note();
	if (call.value.kind === 'absent') {
		return 'absent';
	}

	return holder.offerEntry(call.value.entry, askedAt) ? 'newer' : 'same';
};
