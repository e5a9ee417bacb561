import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import {getFingerprint, type Call} from './call.js';
import type {Tools} from './tools.js';

/** Records which requests an upstream ran when it crashed, and tells the other hosts. */
export const reportCrash = async (call: Call, upstream: Upstream, tools: Tools): Promise<void> => {
	const hasCrashed = await tools.crashes.checkCrash(upstream);
	if (!hasCrashed) {
		return;
	}

	const crash = {fingerprint: getFingerprint(call), upstream: getUpstreamKey(upstream)};
	tools.suspects.add(crash, tools.clock.monotonic());
	tools.notes.addCrash(crash);
	tools.board.applyUnreachable(upstream, 'crashed');
	tools.logger.info('upstream-crashed', {request: call.head.attempt, upstream: crash.upstream, fingerprint: crash.fingerprint});
};
