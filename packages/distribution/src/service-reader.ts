import type {Clock} from '@gentianlift/clock';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import type {ActiveVersion} from './active-version.js';
import type {LastContact} from './last-contact.js';
import {withTimeout} from './loop.js';
import {currentVersionKey} from './store-keys.js';

/** Result of reading the key-value service; `newer` if the version that was read became active. */
export type ServiceReadResult = 'newer' | 'same' | 'absent' | 'unavailable';

/** Reads the newest version from the key-value service and applies it. */
export type ServiceReader = () => Promise<ServiceReadResult>;

/** Dependencies and options of a service reader. */
export type ServiceReaderOptions = {
	clock: Clock;
	keyValue: Pick<KeyValueService, 'read'>;
	activeVersion: ActiveVersion;
	lastContact: LastContact;
	timeout: Milliseconds;
};

/** Creates a service reader that applies what it reads to the active version. */
export const createServiceReader = ({clock, keyValue, activeVersion, lastContact, timeout}: ServiceReaderOptions): ServiceReader => async () => {
	const requestedAt = clock.monotonic();
	const call = await withTimeout(clock, keyValue.read(currentVersionKey), timeout);
	if (call.kind === 'timed-out' || call.value.kind === 'unavailable') {
		return 'unavailable';
	}

	lastContact.record();
	if (call.value.kind === 'absent') {
		return 'absent';
	}

	return activeVersion.applyEntry(call.value.entry, requestedAt) ? 'newer' : 'same';
};
