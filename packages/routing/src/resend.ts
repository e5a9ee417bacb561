import type {Milliseconds} from '@gentianlift/types';

/** How an attempt at an upstream failed, and what is left for another. */
export type FailedSend = {
	/** Whether the upstream is proven not to have run the request. */
	isNotRun: boolean;
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
	/** Upstreams that may have run the request so far, this one included. */
	upstreamsRun: number;
	/** Upstreams on which the request may run. */
	mostUpstreams: number;
	/** Sends so far. */
	sends: number;
	timeLeft: Milliseconds;
};

/** Whether to send once more, and why not. */
export type ResendDecision
	= | {kind: 'resend'}
		| {kind: 'stop'; reason: 'may-have-run' | 'upstreams' | 'sends' | 'deadline'};

/** Sends of one request, those that were rejected included. */
export const mostSends = 4;

/** Time below which another send is of no use. */
const leastTime: Milliseconds = 20;

/** Decides whether a request that failed at one upstream goes to another. The budget is asked apart, as asking takes from it. */
export const decideResend = (send: FailedSend): ResendDecision => {
	if (!send.isNotRun && !send.isRepeatable) {
		return {kind: 'stop', reason: 'may-have-run'};
	}

	if (!send.isNotRun && send.upstreamsRun >= send.mostUpstreams) {
		return {kind: 'stop', reason: 'upstreams'};
	}

	if (send.sends >= mostSends) {
		return {kind: 'stop', reason: 'sends'};
	}

	return send.timeLeft < leastTime ? {kind: 'stop', reason: 'deadline'} : {kind: 'resend'};
};
