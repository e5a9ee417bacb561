import type {AskOptions, Grant} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Milliseconds, RunState, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {HostContext} from '../host-context.js';
import type {FailedAttempt} from './failed-attempt.js';

/** Joins what is known of several attempts: the request ran if any did, and may have run if any may. */
export const joinRunStates = (one: RunState, other: RunState): RunState => {
	if (one === 'ran' || other === 'ran') {
		return 'ran';
	}

	return one === 'unknown' || other === 'unknown' ? 'unknown' : 'not-run';
};

/** Asks for an upstream, and takes the request back when `stop` is aborted first. */
export const acquireUpstream = async (context: HostContext, request: ClassifiedRequest, stopSignal: AbortSignal, options: AskOptions): Promise<Grant> => {
	if (stopSignal.aborted) {
		return {kind: 'withdrawn'};
	}

	const withdraw = (): void => {
		context.grants.withdraw(request.id);
	};

	stopSignal.addEventListener('abort', withdraw, {once: true});
	try {
		return await context.grants.ask(request, options);
	} finally {
		stopSignal.removeEventListener('abort', withdraw);
	}
};

/** The end of an attempt, for the owner of the group, the account, and the health of the upstream. */
export type AttemptRecord = {
	request: ClassifiedRequest;
	upstream: UpstreamId;
	attempt: number;
	kind: TicketEnd['kind'];
	failure: FailedAttempt | undefined;
	tokens: number;
	firstTokenAfter: Milliseconds | undefined;
	duration: Milliseconds;
	ran: RunState;
};

const attemptOutcomes = {
	finished: 'finished', failed: 'failed', cancelled: 'cancelled', preempted: 'preempted', withdrawn: 'cancelled',
} as const;

/** Tells everybody concerned how an attempt ended, and gives its slot back. */
export const recordAttemptEnd = (context: HostContext, record: AttemptRecord): void => {
	const {request, upstream, failure, tokens} = record;
	context.grants.end({
		request: request.id,
		attempt: record.attempt,
		kind: record.kind,
		tokens,
		duration: Math.round(record.duration),
		...(failure?.sighting === 'crashed' && {crashed: true}),
		...(record.firstTokenAfter !== undefined && {firstTokenAfter: Math.round(record.firstTokenAfter)}),
	});
	context.accounts.apply({
		kind: 'attempt-ended', request: request.id, upstream, outcome: failure?.outcome ?? attemptOutcomes[record.kind], tokens, ran: record.ran,
	});
	const sighting = record.kind === 'finished' ? 'success' : failure?.sighting;
	if (sighting !== undefined) {
		context.recordSighting({upstream, at: context.clock.now(), kind: sighting});
	}
};
