import type {UpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {isEligible, type ObservedService} from './observed-service.js';

/** A call that no upstream may run now. */
export type PermitSeeker = {
	call: Call;
	progress: Progress;
	service: ObservedService;
	/** Place of the call among those of its service at this host that wait for permits, from 1. */
	position: number;
	/** Whether it has waited in the queue already. */
	hasWaited: boolean;
};

/** Part of the time until its caller leaves within which a call that has just come has to get a permit. */
const newcomerFraction = 0.5;

/** Whether a call may wait for a permit of one of its upstreams, as they are limited or rest; if not, logs why. */
export const mayWaitForPermit = ({call, progress, service, position, hasWaited}: PermitSeeker, {limits, rests, logger}: Pick<ForwarderContext, 'limits' | 'rests' | 'logger'>): boolean => {
	const getWait = (key: UpstreamKey, round: number): Milliseconds => Math.max(limits.getWait(key, round), rests.getRemaining(key));
	const eligible = service.all.filter(observed => isEligible(observed, {tried: progress.tried, softwareVersion: progress.streamVersion}));
	const shared = eligible.filter(({key}) => Number.isFinite(getWait(key, 1)));
	// Those that wait share the permits of all these upstreams.
	const round = Math.ceil(position / Math.max(1, shared.length));
	const wait: Milliseconds = Math.min(...shared.map(({key}) => getWait(key, round)));
	const remaining = call.leavesAt - service.now;
	if (wait <= remaining * (hasWaited ? 1 : newcomerFraction)) {
		return true;
	}

	if (eligible.length > 0) {
		logger.info('permit-too-late', {
			request: call.head.callerRequestId, service: call.service, position, wait: Number.isFinite(wait) ? Math.round(wait) : undefined,
		});
	}

	return false;
};
