import {
	addToSet, isIncarnationEnded, isSameOperation, updateAt, type Attempt, type Bounds, type Fault, type Operation, type Reply, type SettledOutcome, type State, type ReportedResult,
} from './state.js';

/**
Events of the hosts that make attempts, and of the upstream that runs them. `ask` requests the claim from the slot's owner,
`ask-alone` from the host's own slot writer; `cut` ends a dispatched attempt whose outcome remains unknown.
*/
export type AttemptEvent
	= | {type: 'ask'; attempt: number}
		| {type: 'ask-alone'; attempt: number}
		| {type: 'give-up'; attempt: number}
		| {type: 'receive'; reply: Reply}
		| {type: 'refuse'; attempt: number}
		| {type: 'finish'; attempt: number}
		| {type: 'cut'; attempt: number}
		| {type: 'crash'; host: number};

const hosts = [0, 1];
/** Host that owns the slot, in the view of both hosts. */
const slotOwner = 0;

const getPhaseEvents = (state: State, attempt: Attempt, index: number): AttemptEvent[] => {
	switch (attempt.phase) {
		case 'new': {
			const isUp = (state.crashes[attempt.host] ?? 0) === attempt.incarnation - 1;
			return isUp ? [{type: 'ask', attempt: index}] : [];
		}

		case 'asking': {
			return [{type: attempt.host === slotOwner ? 'give-up' : 'ask-alone', attempt: index}];
		}

		case 'alone': {
			return [{type: 'give-up', attempt: index}];
		}

		case 'dispatched': {
			return [{type: 'finish', attempt: index}, {type: 'refuse', attempt: index}, {type: 'cut', attempt: index}];
		}

		case 'given-up':
		case 'ended': {
			return [];
		}
	}
};

const acceptsReply = (attempt: Attempt, fault: Fault): boolean =>
	attempt.phase === 'asking' || attempt.phase === 'alone' || (attempt.phase === 'given-up' && fault === 'start-after-giving-up');

/** Returns the events of attempts and hosts that may happen in a state. */
export const getAttemptEvents = (state: State, bounds: Bounds, fault: Fault): AttemptEvent[] => [
	...state.attempts.flatMap((attempt, index) => getPhaseEvents(state, attempt, index)),
	...state.replies.filter(reply => acceptsReply(state.attempts[reply.attempt]!, fault)).map(reply => ({type: 'receive' as const, reply})),
	...hosts.filter(host => state.crashes[host]! < bounds.maxCrashes).map(host => ({type: 'crash' as const, host})),
];

const send = (state: State, to: number, operation: Operation): State => {
	const isSent = state.messages.some(message => message.to === to && isSameOperation(message.operation, operation));
	return isSent ? state : {...state, messages: addToSet(state.messages, {to, operation, remainingDeliveries: state.maxDeliveries})};
};

const updateAttempt = (state: State, index: number, changes: Partial<Attempt>): State =>
	({...state, attempts: updateAt(state.attempts, index, changes)});

const sendSettlement = (state: State, index: number, outcome: SettledOutcome): State =>
	send(state, state.attempts[index]!.host, {kind: 'settle', attempt: index, outcome});

const resultByDecision = {
	'in-progress': 'in-progress', done: 'done', unknown: 'unknown',
} as const satisfies Record<Exclude<Reply['decision'], 'start'>, ReportedResult>;

const applyReply = (state: State, {attempt, decision}: Reply): State => decision === 'start'
	? updateAttempt(state, attempt, {phase: 'dispatched', hasRun: true})
	: updateAttempt(state, attempt, {phase: 'ended', reportedResult: resultByDecision[decision]});

const applyCrash = (state: State, host: number): State => {
	const crashes = state.crashes.map((count, index) => index === host ? count + 1 : count);
	const crashed = {...state, crashes};
	return {
		...crashed,
		attempts: state.attempts.map(attempt => {
			const isLost = attempt.host === host && !isIncarnationEnded(state, attempt) && isIncarnationEnded(crashed, attempt);
			return isLost ? {...attempt, phase: 'ended'} : attempt;
		}),
		writes: state.writes.map(write => write.id === state.writers[host]!.writeId ? {...write, isAwaited: false} : write),
		writers: state.writers.map((writer, index) => index === host ? {batch: [], queue: []} : writer),
	};
};

const applyEvent = (state: State, event: AttemptEvent): State => {
	switch (event.type) {
		case 'ask': {
			return send(updateAttempt(state, event.attempt, {phase: 'asking'}), slotOwner, {kind: 'claim', attempt: event.attempt});
		}

		case 'ask-alone': {
			const {host} = state.attempts[event.attempt]!;
			return send(updateAttempt(state, event.attempt, {phase: 'alone'}), host, {kind: 'claim', attempt: event.attempt});
		}

		case 'give-up': {
			return sendSettlement(updateAttempt(state, event.attempt, {phase: 'given-up', reportedResult: 'not-run'}), event.attempt, 'not-run');
		}

		case 'receive': {
			return applyReply(state, event.reply);
		}

		case 'refuse': {
			return sendSettlement(updateAttempt(state, event.attempt, {phase: 'ended', hasRun: false, reportedResult: 'not-run'}), event.attempt, 'not-run');
		}

		case 'finish': {
			return sendSettlement(updateAttempt(state, event.attempt, {phase: 'ended', reportedResult: 'ran'}), event.attempt, 'finished');
		}

		case 'cut': {
			return sendSettlement(updateAttempt(state, event.attempt, {phase: 'ended', reportedResult: 'unknown'}), event.attempt, 'unknown');
		}

		case 'crash': {
			return applyCrash(state, event.host);
		}
	}
};

/** Applies an event of an attempt or of a host, and drops the replies that no attempt accepts any more. */
export const applyAttemptEvent = (state: State, event: AttemptEvent, fault: Fault): State => {
	const next = applyEvent(state, event);
	return {...next, replies: next.replies.filter(({attempt}) => acceptsReply(next.attempts[attempt]!, fault))};
};
