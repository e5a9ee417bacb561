import type {Upstream} from '@gentianlift/routing';
import type {Call, Progress} from './call.js';
import type {ForwarderContext} from './context.js';
import {getSuspects} from './crash-blame.js';
import {reportCrash} from './report-crash.js';

/** Records a good end for all that the call may be blamed by, and reports it where a crash spoke against that. */
const addGoodEnds = (call: Call, context: ForwarderContext): void => {
	const {suspects, clock, reportExchange, logger} = context;
	for (const suspect of getSuspects(call)) {
		if (suspects.addGoodEnd(suspect, clock.monotonic())) {
			reportExchange.addGoodEnd({suspect, age: 0});
			logger.info('suspect-cleared', {request: call.head.callerRequestId, suspect, age: 0});
		}
	}
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Records that an upstream has written an answer to its end. Only a success speaks for the call, as an upstream may crash
 * when it begins to write one. A crash may look like the end of an answer without length or chunks; that counts only if
 * there is something to clear, and if the upstream is found to be alive.
 */
export const recordGoodEnd = async (call: Call, progress: Progress, {upstream, status}: {upstream: Upstream; status: number}, context: ForwarderContext): Promise<void> => {
	if (!isSuccess(status)) {
		return;
	}

	if (progress.bodyEnd?.framing !== 'close') {
		addGoodEnds(call, context);
		return;
	}

	const {suspects, clock} = context;
	const isSuspected = getSuspects(call).some(suspect => suspects.isSuspected(suspect, clock.monotonic()));
	if (isSuspected && !await reportCrash(call, progress, upstream, context)) {
		addGoodEnds(call, context);
	}
};
