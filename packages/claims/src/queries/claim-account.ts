import type {
	Account, AccountState, Attempt, AttemptOutcome, Claim, HostId, Incarnation, RunState,
} from '@gentianlift/types';

/** Reported when the host that claimed the request is gone; the request itself runs on an upstream. */
const hostGoneReason = 'the host that ran the request is gone';

const getAccountState = (claim: Claim, isGone: boolean): AccountState => {
	const at = claim.settledAt ?? claim.claimedAt;
	switch (claim.outcome.kind) {
		case 'claimed': {
			return isGone ? {kind: 'unknown', reason: hostGoneReason, at} : {kind: 'running', since: at};
		}

		case 'finished': {
			return {kind: 'finished', at, status: claim.outcome.status};
		}

		case 'not-run': {
			return {kind: 'refused', error: 'not-run', at};
		}

		case 'unknown': {
			return {kind: 'unknown', reason: claim.outcome.reason, at};
		}
	}
};

const runStates = {
	claimed: 'unknown', finished: 'ran', 'not-run': 'not-run', unknown: 'unknown',
} as const satisfies Record<Claim['outcome']['kind'], RunState>;

const attemptOutcomes = {
	claimed: 'running', finished: 'finished', 'not-run': 'refused', unknown: 'reset',
} as const satisfies Record<Claim['outcome']['kind'], AttemptOutcome>;

const getAttempts = (claim: Claim): Attempt[] => {
	if (claim.upstream === undefined) {
		return [];
	}

	return [{
		upstream: claim.upstream,
		startedAt: claim.claimedAt,
		...(claim.settledAt !== undefined && {endedAt: claim.settledAt}),
		outcome: attemptOutcomes[claim.outcome.kind],
		tokens: 0,
	}];
};

/** Derives the account of a non-idempotent request, which tells whether it ran, from its claim, for hosts that have no account of the request. */
export const getClaimAccount = (claim: Claim, isGone: (host: HostId, incarnation: Incarnation) => boolean): Account => ({
	id: claim.request,
	customer: claim.customer,
	className: claim.className ?? '',
	ran: runStates[claim.outcome.kind],
	state: getAccountState(claim, isGone(claim.host, claim.incarnation)),
	attempts: getAttempts(claim),
});
