import type {ErrorKind} from '@gentianlift/errors';
import {type CallFailure, getRunState, type UpstreamClient} from '@gentianlift/upstream';
import type {
	Address, AttemptOutcome, Milliseconds, RunState, UpstreamObservation,
} from '@gentianlift/types';

/** Failure of an attempt, which ended without a complete answer, described for the account, the caller's error and the health record of the upstream. */
export type AttemptFailure = {
	/** Tells a failure from the other ends of an attempt. Covers refusals and error statuses as well as lost connections. */
	kind: 'lost';
	error: ErrorKind;
	outcome: AttemptOutcome;
	/** Details for the log: an error code, what isn't HTTP in the response, its status, or the code of a refusal. */
	reason: string | undefined;
	/** What the failure says about the health of the upstream; undefined if nothing. */
	observation: UpstreamObservation['kind'] | undefined;
	/** Whether the upstream executed the request, as far as the router knows. */
	ran: RunState;
	retryAfter?: Milliseconds;
	/** Upstream's message for a request that it rejected; there is no retry, since any other upstream would reject it too. */
	rejection?: string;
};

const getObservationKind = (failure: CallFailure): UpstreamObservation['kind'] | undefined => {
	switch (failure.kind) {
		case 'refused': {
			return failure.code === 'leaving' ? 'leaving' : 'refused';
		}

		case 'unreachable':
		case 'reset':
		case 'silent': {
			return failure.kind;
		}

		case 'failed': {
			return failure.status >= 500 ? 'error' : undefined;
		}

		case 'unsent':
		case 'cancelled': {
			return undefined;
		}
	}
};

const getReason = (failure: CallFailure): string | undefined => {
	switch (failure.kind) {
		case 'unreachable':
		case 'reset': {
			return failure.reason;
		}

		case 'refused': {
			return failure.code;
		}

		case 'failed': {
			return `status-${failure.status}`;
		}

		case 'silent':
		case 'unsent':
		case 'cancelled': {
			return undefined;
		}
	}
};

const errorKinds = {
	refused: 'upstream-refused',
	unsent: 'host-overloaded',
	unreachable: 'upstream-unreachable',
	reset: 'upstream-reset',
	silent: 'upstream-silent',
	failed: 'upstream-failed',
	cancelled: 'outcome-unknown',
} as const satisfies Record<CallFailure['kind'], ErrorKind>;

const maxRejectionCharacters = 500;
/** Client error statuses that are caused by the state of the upstream and not by the request. */
const transientStatuses = new Set([408, 425, 429]);

const getRejection = (failure: CallFailure): string | undefined => {
	const isRejection = failure.kind === 'failed' && failure.status >= 400 && failure.status < 500 && !transientStatuses.has(failure.status);
	return isRejection ? failure.text.slice(0, maxRejectionCharacters) : undefined;
};

/** Describes the failure of an attempt whose call failed. */
export const describeCallFailure = (failure: CallFailure): AttemptFailure => {
	const rejection = getRejection(failure);
	return {
		kind: 'lost',
		error: rejection === undefined ? errorKinds[failure.kind] : 'upstream-rejected',
		outcome: failure.kind,
		reason: getReason(failure),
		observation: getObservationKind(failure),
		ran: getRunState(failure),
		...(rejection !== undefined && {rejection}),
		...(failure.kind === 'refused' && failure.retryAfter !== undefined && {retryAfter: failure.retryAfter}),
	};
};

/** Distinguishes a crash from a lost connection by a health check after a connection reset: an upstream that crashed accepts no new connections. */
export const detectCrash = async (upstreams: Pick<UpstreamClient, 'checkHealth'>, address: Address, failure: AttemptFailure): Promise<AttemptFailure> => {
	if (failure.observation !== 'reset') {
		return failure;
	}

	const health = await upstreams.checkHealth(address);
	return health === 'unreachable' ? {...failure, observation: 'crashed'} : failure;
};
