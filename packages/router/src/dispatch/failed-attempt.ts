import type {ErrorKind} from '@gentianlift/errors';
import {type CallFailure, getRunState, type UpstreamClient} from '@gentianlift/upstream';
import type {
	Address, AttemptOutcome, Milliseconds, RunState, UpstreamSighting,
} from '@gentianlift/types';

/** An attempt that gave no whole answer, in the words of accounts, errors and sightings. */
export type FailedAttempt = {
	kind: 'lost';
	error: ErrorKind;
	outcome: AttemptOutcome;
	sighting: UpstreamSighting['kind'] | undefined;
	ran: RunState;
	retryAfter?: Milliseconds;
	/** What the upstream says to the caller of a request that it rejects; another upstream would say the same. */
	rejection?: string;
};

const getSighting = (failure: CallFailure): UpstreamSighting['kind'] | undefined => {
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

		case 'cancelled': {
			return undefined;
		}
	}
};

const errorKinds = {
	refused: 'upstream-refused',
	unreachable: 'upstream-unreachable',
	reset: 'upstream-reset',
	silent: 'upstream-silent',
	failed: 'upstream-failed',
	cancelled: 'outcome-unknown',
} as const satisfies Record<CallFailure['kind'], ErrorKind>;

const maxRejectionCharacters = 500;
/** Statuses that tell of the upstream's state and not of the request. */
const transientStatuses = new Set([408, 425, 429]);

const getRejection = (failure: CallFailure): string | undefined => {
	const isRejection = failure.kind === 'failed' && failure.status >= 400 && failure.status < 500 && !transientStatuses.has(failure.status);
	return isRejection ? failure.text.slice(0, maxRejectionCharacters) : undefined;
};

/** Gets the end of an attempt whose call failed before its answer started. */
export const getFailedAttempt = (failure: CallFailure): FailedAttempt => {
	const rejection = getRejection(failure);
	return {
		kind: 'lost',
		error: rejection === undefined ? errorKinds[failure.kind] : 'upstream-rejected',
		outcome: failure.kind,
		sighting: getSighting(failure),
		ran: getRunState(failure),
		...(rejection !== undefined && {rejection}),
		...(failure.kind === 'refused' && failure.retryAfter !== undefined && {retryAfter: failure.retryAfter}),
	};
};

/** Tells a crash from a lost connection: after a reset, an upstream that crashed refuses new connections. */
export const detectCrash = async (upstreams: Pick<UpstreamClient, 'checkHealth'>, address: Address, failure: FailedAttempt): Promise<FailedAttempt> => {
	if (failure.sighting !== 'reset') {
		return failure;
	}

	const health = await upstreams.checkHealth(address);
	return health === 'unreachable' ? {...failure, sighting: 'crashed'} : failure;
};
