import type {HostId, Milliseconds} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';

/** A host as another one sees it. */
export type SeenHost = {record: HostRecord; silence: Milliseconds; isStopping: boolean};

/** Silence after which callers are no longer sent to a host. */
export const longestSilence: Milliseconds = 1600;

/** Gets the hosts that callers may be sent to: this one unless it is stopping, and others that were heard lately. */
export const getOfferedHosts = (seen: readonly SeenHost[], own: HostId): HostRecord[] => {
	const offered = seen.filter(({record, silence, isStopping}) =>
		!isStopping && !record.isStopping && (record.host === own || silence <= longestSilence));
	return offered.map(({record}) => record);
};
