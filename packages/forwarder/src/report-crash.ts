import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import {getFingerprint, type Call} from './call.js';
import type {ForwarderContext} from './context.js';

/** Checks whether an upstream has crashed while it ran a call; if so, records the call as a suspect and notifies the other hosts. */
export const reportCrash = async (call: Call, upstream: Upstream, context: ForwarderContext): Promise<void> => {
	const hasCrashed = await context.crashDetector.detectCrash(upstream);
	if (!hasCrashed) {
		return;
	}

	const crash = {fingerprint: getFingerprint(call), upstream: getUpstreamKey(upstream)};
	context.suspects.add(crash, context.clock.monotonic());
	context.reportExchange.addCrash(crash);
	context.tracker.recordUnreachable(upstream, 'crashed');
	context.logger.info('upstream-crashed', {request: call.head.callerRequestId, upstream: crash.upstream, fingerprint: crash.fingerprint});
};
