import type {SuspectId, Upstream} from '@gentianlift/routing';
import {getFingerprint, type Call, type Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {isServerError} from '../deliver/deliver-buffered.js';
import {getSuspects} from './crash-blame.js';
import {reportCrash} from './report-crash.js';

/** Records a good end of suspects, and reports it where a crash spoke against them. */
const addGoodEnds = (ended: readonly SuspectId[], call: Call, context: ForwarderContext): void => {
	const {suspects, clock, reportExchange, logger} = context;
	for (const suspect of ended) {
		if (suspects.addGoodEnd(suspect, clock.monotonic())) {
			reportExchange.addGoodEnd({suspect, age: 0});
			logger.info('suspect-cleared', {request: call.head.callerRequestId, suspect, age: 0});
		}
	}
};

/**
 * Returns what an answer to the end speaks for: a success for all that the call may be blamed by, an error of the caller
 * for copies of the call only, as a part may crash an upstream when that begins to write a success; an error of the
 * upstream for nothing, as the call may not have begun.
 */
const getEndedSuspects = (call: Call, status: number): readonly SuspectId[] => {
	if (isServerError(status)) {
		return [];
	}

	return status < 300 ? getSuspects(call) : [getFingerprint(call)];
};

/**
 * Records that an upstream has written an answer to its end. A crash may look like the end of an answer without length or
 * chunks; that counts only if there is something to clear, and if the upstream is found to be alive.
 */
export const recordGoodEnd = async (call: Call, progress: Progress, {upstream, status}: {upstream: Upstream; status: number}, context: ForwarderContext): Promise<void> => {
	const ended = getEndedSuspects(call, status);
	if (progress.bodyEnd?.framing !== 'close') {
		addGoodEnds(ended, call, context);
		return;
	}

	const {suspects, clock} = context;
	const isSuspected = ended.some(suspect => suspects.isSuspected(suspect, clock.monotonic()));
	if (isSuspected && !await reportCrash(call, progress, upstream, context)) {
		addGoodEnds(ended, call, context);
	}
};
