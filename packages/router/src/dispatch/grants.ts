import type {AskOptions, Grant} from '@gentianlift/scheduler';
import type {
	ClassifiedRequest, Milliseconds, RunState, TicketEnd, UpstreamId,
} from '@gentianlift/types';
import type {HostParts} from '../parts.js';
import type {LostAttempt} from './attempt-end.js';

/** Joins what is known of several attempts: the request ran if any did, and may have run if any may. */
export const joinRunStates = (one: RunState, other: RunState): RunState => {
	if (one === 'ran' || other === 'ran') {
		return 'ran';
	}

	return one === 'unknown' || other === 'unknown' ? 'unknown' : 'not-run';
};

/** Asks for an upstream, and takes the request back when `stop` is aborted first. */
export const askForUpstream = async (parts: HostParts, request: ClassifiedRequest, stop: AbortSignal, options: AskOptions): Promise<Grant> => {
	if (stop.aborted) {
		return {kind: 'withdrawn'};
	}

	const withdraw = (): void => {
		parts.grants.withdraw(request.id);
	};

	stop.addEventListener('abort', withdraw, {once: true});
	try {
		return await parts.grants.ask(request, options);
	} finally {
		stop.removeEventListener('abort', withdraw);
	}
};

/** The end of an attempt, for the owner of the group, the account, and the health of the upstream. */
export type AttemptRecord = {
	request: ClassifiedRequest;
	upstream: UpstreamId;
	attempt: number;
	kind: TicketEnd['kind'];
	lost: LostAttempt | undefined;
	tokens: number;
	firstTokenAfter: Milliseconds | undefined;
	duration: Milliseconds;
	ran: RunState;
};

const outcomeOf = {
	finished: 'finished', failed: 'failed', cancelled: 'cancelled', preempted: 'preempted', withdrawn: 'cancelled',
} as const;

/** Tells everybody concerned how an attempt ended, and gives its slot back. */
export const recordAttemptEnd = (parts: HostParts, record: AttemptRecord): void => {
	const {request, upstream, lost, tokens} = record;
	parts.grants.end({
		request: request.id,
		attempt: record.attempt,
		kind: record.kind,
		tokens,
		duration: Math.round(record.duration),
		...(lost?.sighting === 'crashed' && {crashed: true}),
		...(record.firstTokenAfter !== undefined && {firstTokenAfter: Math.round(record.firstTokenAfter)}),
	});
	parts.accounts.apply({
		kind: 'attempt-ended', request: request.id, upstream, outcome: lost?.outcome ?? outcomeOf[record.kind], tokens, ran: record.ran,
	});
	const sighting = record.kind === 'finished' ? 'success' : lost?.sighting;
	if (sighting !== undefined) {
		parts.recordSighting({upstream, at: parts.clock.now(), kind: sighting});
	}
};
