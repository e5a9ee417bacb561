import type {
	Account, Attempt, AttemptOutcome, Milliseconds, RequestId, RunState, UpstreamId,
} from '@gentianlift/types';

/** Event of a request that changes its account, the record of whether it ran and of its attempts. */
export type AccountEvent
	= | {kind: 'attempt-started'; request: RequestId; upstream: UpstreamId}
		| {kind: 'attempt-ended'; request: RequestId; upstream: UpstreamId; outcome: AttemptOutcome; tokens: number; ran: RunState}
		| {kind: 'waiting'; request: RequestId}
		| {kind: 'refused'; request: RequestId; error: string; ran: RunState; retryAfter?: Milliseconds}
		| {kind: 'finished'; request: RequestId; status: number}
		| {kind: 'failed'; request: RequestId; error: string; ran: RunState}
		| {kind: 'cancelled'; request: RequestId; ran: RunState}
		| {kind: 'unknown'; request: RequestId; reason: string};

const finalStates = new Set<Account['state']['kind']>(['refused', 'finished', 'failed', 'cancelled', 'unknown']);

const endAttempt = (attempts: readonly Attempt[], event: Extract<AccountEvent, {kind: 'attempt-ended'}>, at: Milliseconds): Attempt[] =>
	attempts.map(attempt => attempt.upstream === event.upstream && attempt.endedAt === undefined
		? {
			...attempt, endedAt: at, outcome: event.outcome, tokens: event.tokens,
		}
		: attempt);

/** Combines the run states of two attempts: the request ran if either did, and may have run if either may have. */
const mergeRunStates = (previous: RunState, attempt: RunState): RunState => {
	if (previous === 'ran' || attempt === 'ran') {
		return 'ran';
	}

	return previous === 'unknown' || attempt === 'unknown' ? 'unknown' : 'not-run';
};

/** Returns whether the request ran in the account's attempts: `not-run` if all of them were refused or unreachable, else the account's own run state. */
const getPreviousRunState = (account: Account): RunState => account.attempts.some(({outcome}) => outcome !== 'refused' && outcome !== 'unreachable')
	? account.ran
	: 'not-run';

/** Returns the account with an event applied. An account in a final state stays unchanged. */
export const applyAccountEvent = (account: Account, event: AccountEvent, at: Milliseconds): Account => {
	if (finalStates.has(account.state.kind)) {
		return account;
	}

	switch (event.kind) {
		case 'attempt-started': {
			const attempt: Attempt = {
				upstream: event.upstream, startedAt: at, outcome: 'running', tokens: 0,
			};
			return {
				...account, ran: account.ran === 'ran' ? 'ran' : 'unknown', state: {kind: 'running', since: at}, attempts: [...account.attempts, attempt],
			};
		}

		case 'attempt-ended': {
			const previous = getPreviousRunState({...account, attempts: account.attempts.filter(({endedAt}) => endedAt !== undefined)});
			return {...account, ran: mergeRunStates(previous, event.ran), attempts: endAttempt(account.attempts, event, at)};
		}

		case 'waiting': {
			return {...account, state: {kind: 'waiting', since: at}};
		}

		case 'refused': {
			return {
				...account, ran: event.ran, state: {
					kind: 'refused', error: event.error, at, ...(event.retryAfter !== undefined && {retryAfter: event.retryAfter}),
				},
			};
		}

		case 'finished': {
			return {...account, ran: 'ran', state: {kind: 'finished', at, status: event.status}};
		}

		case 'failed': {
			return {...account, ran: event.ran, state: {kind: 'failed', error: event.error, at}};
		}

		case 'cancelled': {
			return {...account, ran: event.ran, state: {kind: 'cancelled', at}};
		}

		case 'unknown': {
			return {...account, ran: 'unknown', state: {kind: 'unknown', reason: event.reason, at}};
		}
	}
};
