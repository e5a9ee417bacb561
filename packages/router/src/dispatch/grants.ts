import type {GrantOptions, GrantOutcome} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Milliseconds, RunState, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';
import type {AttemptFailure} from './attempt-failure.js';

/** Combines the run states of two attempts: the request ran if either did, and its state is unknown if either is unknown and neither ran. */
export const combineRunStates = (one: RunState, other: RunState): RunState => {
	if (one === 'ran' || other === 'ran') {
		return 'ran';
	}

	return one === 'unknown' || other === 'unknown' ? 'unknown' : 'not-run';
};

/** Requests a grant for an upstream, and withdraws the request if `stopSignal` is aborted before the grant arrives. */
export const acquireUpstream = async (context: HostContext, request: ClassifiedRequest, stopSignal: AbortSignal, options: GrantOptions): Promise<GrantOutcome> => {
	if (stopSignal.aborted) {
		return {kind: 'withdrawn'};
	}

	const withdraw = (): void => {
		context.grants.withdraw(request.id);
	};

	stopSignal.addEventListener('abort', withdraw, {once: true});
	try {
		return await context.grants.requestGrant(request, options);
	} finally {
		stopSignal.removeEventListener('abort', withdraw);
	}
};

/** End of an attempt, as reported to the owner of the group, the account of the request and the health record of the upstream. */
export type AttemptRecord = {
	request: ClassifiedRequest;
	upstream: UpstreamId;
	/** Number of the attempt within the request, from 1. */
	attempt: number;
	kind: TicketEnd['kind'];
	failure: AttemptFailure | undefined;
	tokens: number;
	firstTokenAfter: Milliseconds | undefined;
	duration: Milliseconds;
	ran: RunState;
};

/** Outcome of an attempt in the account, unless a failure names another, by the kind of end that is reported to the owner. */
const outcomesByEndKind = {
	finished: 'finished', failed: 'failed', cancelled: 'cancelled', preempted: 'preempted', withdrawn: 'cancelled',
} as const;

/** Releases the slot of an attempt and records its outcome in the account of the request and the health record of the upstream; logs a failure. */
export const finishAttempt = (context: HostContext, record: AttemptRecord): void => {
	const {request, upstream, failure, tokens} = record;
	context.grants.reportEnd({
		request: request.id,
		attempt: record.attempt,
		kind: record.kind,
		tokens,
		duration: Math.round(record.duration),
		...(failure?.observation === 'crashed' && {crashed: true}),
		...(record.firstTokenAfter !== undefined && {firstTokenAfter: Math.round(record.firstTokenAfter)}),
	});
	context.accounts.apply({
		kind: 'attempt-ended', request: request.id, upstream, outcome: failure?.outcome ?? outcomesByEndKind[record.kind], tokens, ran: record.ran,
	});
	if (failure !== undefined) {
		context.logger.info('attempt-failed', {
			request: request.id, upstream, attempt: record.attempt, outcome: failure.outcome, reason: failure.reason, ran: record.ran,
		});
	}

	const observedKind = record.kind === 'finished' ? 'success' : failure?.observation;
	if (observedKind !== undefined) {
		context.recordObservation({upstream, at: context.clock.now(), kind: observedKind});
	}
};
