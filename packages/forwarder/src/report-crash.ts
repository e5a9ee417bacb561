import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import {getFingerprint, type Call, type Progress} from './call.js';
import type {ForwarderContext} from './context.js';

/** Maximum number of parts of a prompt that a log line names. */
const maxLoggedParts = 16;

/** Returns the ids of the parts that a request's prompt may share with others, for a log line. */
const describeSharedParts = ({head: {prompt}}: Call): string | undefined =>
	prompt?.parts.slice(0, -1).slice(0, maxLoggedParts).map(({id}) => id).join(',');

/** Checks whether an upstream has crashed while it ran a call; if so, records the call as a suspect and notifies the other hosts. */
export const reportCrash = async (call: Call, progress: Progress, upstream: Upstream, context: ForwarderContext): Promise<void> => {
	const writtenFor = progress.firstBytesAt === undefined ? undefined : Math.round(context.clock.monotonic() - progress.firstBytesAt);
	const hasCrashed = await context.crashDetector.detectCrash(upstream);
	if (!hasCrashed) {
		return;
	}

	const crash = {fingerprint: getFingerprint(call), upstream: getUpstreamKey(upstream)};
	context.suspects.add(crash, context.clock.monotonic());
	context.reportExchange.addCrash(crash);
	context.tracker.recordUnreachable(upstream, 'crashed');
	context.logger.info('upstream-crashed', {
		request: call.head.callerRequestId, upstream: crash.upstream, fingerprint: crash.fingerprint, parts: describeSharedParts(call), writtenFor,
	});
};
