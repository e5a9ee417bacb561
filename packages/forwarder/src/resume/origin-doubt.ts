import type {Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {maxEntryDelay} from '../queue/restart-doubt.js';

/**
 * Whether the upstream that began a stream may be of another software version than its entry said: its process may have
 * started while the store could not tell, and it has not run long enough since for its own entry to have come, or that
 * has come and names another incarnation.
 */
export const isOriginDoubtful = ({origin, lastBytesAt}: Progress, {view, clock}: Pick<ForwarderContext, 'view' | 'clock'>): boolean => {
	const unseen = view.getUnseenInterval(clock.monotonic());
	if (origin === undefined || unseen === undefined) {
		return false;
	}

	const entryDueAt = unseen.to + maxEntryDelay;
	const mayHaveStartedUnseen = origin.runsSince > unseen.from && origin.runsSince < entryDueAt;
	const hasRunUntilEntry = lastBytesAt !== undefined && lastBytesAt >= entryDueAt;
	return mayHaveStartedUnseen && (!hasRunUntilEntry || view.isReplaced(origin.upstream));
};
