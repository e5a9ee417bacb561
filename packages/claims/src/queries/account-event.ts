import type {
	Account, Attempt, AttemptOutcome, Milliseconds, RequestId, RunState, UpstreamId,
} from '@gentianlift/types';

/** What happens to a request, for its account. */
export type AccountEvent
	= | {kind: 'attempt-started'; request: RequestId; upstream: UpstreamId}
		| {kind: 'attempt-ended'; request: RequestId; upstream: UpstreamId; outcome: AttemptOutcome; tokens: number; ran: RunState}
		| {kind: 'waiting'; request: RequestId}
		| {kind: 'refused'; request: RequestId; error: string; ran: RunState; retryAfter?: Milliseconds}
		| {kind: 'finished'; request: RequestId; status: number}
		| {kind: 'failed'; request: RequestId; error: string; ran: RunState}
		| {kind: 'cancelled'; request: RequestId; ran: RunState}
		| {kind: 'unknown'; request: RequestId; reason: string};

const closedStates = new Set<Account['state']['kind']>(['refused', 'finished', 'failed', 'cancelled', 'unknown']);

const endAttempt = (attempts: readonly Attempt[], event: Extract<AccountEvent, {kind: 'attempt-ended'}>, at: Milliseconds): Attempt[] =>
	attempts.map(attempt => attempt.upstream === event.upstream && attempt.endedAt === undefined
		? {
			...attempt, endedAt: at, outcome: event.outcome, tokens: event.tokens,
		}
		: attempt);

/** What is known of a request that had one attempt of each kind: it ran if any did, and it may have run if any may. */
const joinRunStates = (before: RunState, attempt: RunState): RunState => {
	if (before === 'ran' || attempt === 'ran') {
		return 'ran';
	}

	return before === 'unknown' || attempt === 'unknown' ? 'unknown' : 'not-run';
};

const getRanBefore = (account: Account): RunState => account.attempts.some(({outcome}) => outcome !== 'refused' && outcome !== 'unreachable')
	? account.ran
	: 'not-run';

/** Applies an event to an account. An account that has ended stays as it is. */
export const applyAccountEvent = (account: Account, event: AccountEvent, at: Milliseconds): Account => {
	if (closedStates.has(account.state.kind)) {
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
			const before = getRanBefore({...account, attempts: account.attempts.filter(({endedAt}) => endedAt !== undefined)});
			return {...account, ran: joinRunStates(before, event.ran), attempts: endAttempt(account.attempts, event, at)};
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
