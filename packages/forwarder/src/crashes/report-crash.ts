import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import {getFingerprint, type Call, type Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {getSuspects} from './crash-blame.js';

/** Maximum number of parts of a prompt that a log line names. */
const maxLoggedParts = 16;

/** Checks whether an upstream has crashed while it ran a call; if so, records what the call may be blamed by and notifies the other hosts. */
export const reportCrash = async (call: Call, progress: Progress, upstream: Upstream, context: ForwarderContext): Promise<boolean> => {
	const {suspects, clock, reportExchange, tracker, logger, metrics} = context;
	const writtenFor = progress.firstBytesAt === undefined ? undefined : Math.round(clock.monotonic() - progress.firstBytesAt);
	const hasCrashed = await context.crashDetector.detectCrash(upstream);
	if (!hasCrashed) {
		return false;
	}

	const upstreamKey = getUpstreamKey(upstream);
	for (const suspect of getSuspects(call)) {
		const crash = {suspect, upstream: upstreamKey, age: 0};
		suspects.addCrash(crash, clock.monotonic());
		reportExchange.addCrash(crash);
	}

	tracker.recordUnreachable(upstream, 'crashed');
	metrics.count('crash_reports_total', {route: call.route.name});
	logger.info('upstream-crashed', {
		request: call.head.callerRequestId, upstream: upstreamKey, fingerprint: getFingerprint(call), parts: call.head.sharedParts.slice(0, maxLoggedParts).join(','), writtenFor,
	});
	return true;
};
