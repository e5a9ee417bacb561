import {
	addTo, isGone, isSameOperation, setAt, type Attempt, type Bounds, type Fault, type Operation, type Reply, type Settled, type State, type Told,
} from './state.js';

/** Events of the hosts that make attempts, and of the upstream. */
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
/** Host that owns the slot in the view of both. */
const owner = 0;

const getPhaseEvents = (state: State, attempt: Attempt, index: number): AttemptEvent[] => {
	switch (attempt.phase) {
		case 'new': {
			const isUp = (state.crashes[attempt.host] ?? 0) === attempt.run - 1;
			return isUp ? [{type: 'ask', attempt: index}] : [];
		}

		case 'asking': {
			return [{type: attempt.host === owner ? 'give-up' : 'ask-alone', attempt: index}];
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

const isExpecting = (attempt: Attempt, fault: Fault): boolean =>
	attempt.phase === 'asking' || attempt.phase === 'alone' || (attempt.phase === 'given-up' && fault === 'start-after-giving-up');

/** Gets what attempts and hosts may do. */
export const getEvents = (state: State, bounds: Bounds, fault: Fault): AttemptEvent[] => [
	...state.attempts.flatMap((attempt, index) => getPhaseEvents(state, attempt, index)),
	...state.replies.filter(reply => isExpecting(state.attempts[reply.attempt]!, fault)).map(reply => ({type: 'receive' as const, reply})),
	...hosts.filter(host => state.crashes[host]! < bounds.crashes).map(host => ({type: 'crash' as const, host})),
];

const send = (state: State, to: number, operation: Operation): State => {
	const isSent = state.messages.some(message => message.to === to && isSameOperation(message.operation, operation));
	return isSent ? state : {...state, messages: addTo(state.messages, {to, operation, deliveries: state.deliveries})};
};

const change = (state: State, index: number, changes: Partial<Attempt>): State =>
	({...state, attempts: setAt(state.attempts, index, changes)});

const settle = (state: State, index: number, outcome: Settled): State =>
	send(state, state.attempts[index]!.host, {kind: 'settle', attempt: index, outcome});

const toldOfDecision = {
	'in-progress': 'in-progress', done: 'done', unknown: 'unknown',
} as const satisfies Record<Exclude<Reply['decision'], 'start'>, Told>;

const receive = (state: State, {attempt, decision}: Reply): State => decision === 'start'
	? change(state, attempt, {phase: 'dispatched', ran: true})
	: change(state, attempt, {phase: 'ended', told: toldOfDecision[decision]});

const crash = (state: State, host: number): State => {
	const crashes = state.crashes.map((count, index) => index === host ? count + 1 : count);
	const after = {...state, crashes};
	return {
		...after,
		attempts: state.attempts.map(attempt => {
			const hasLost = attempt.host === host && !isGone(state, attempt) && isGone(after, attempt);
			return hasLost ? {...attempt, phase: 'ended'} : attempt;
		}),
		writes: state.writes.map(write => write.id === state.writers[host]!.writing ? {...write, isAwaited: false} : write),
		writers: state.writers.map((writer, index) => index === host ? {batch: [], queue: []} : writer),
	};
};

const applyEvent = (state: State, event: AttemptEvent): State => {
	switch (event.type) {
		case 'ask': {
			return send(change(state, event.attempt, {phase: 'asking'}), owner, {kind: 'claim', attempt: event.attempt});
		}

		case 'ask-alone': {
			const {host} = state.attempts[event.attempt]!;
			return send(change(state, event.attempt, {phase: 'alone'}), host, {kind: 'claim', attempt: event.attempt});
		}

		case 'give-up': {
			return settle(change(state, event.attempt, {phase: 'given-up', told: 'not-run'}), event.attempt, 'not-run');
		}

		case 'receive': {
			return receive(state, event.reply);
		}

		case 'refuse': {
			return settle(change(state, event.attempt, {phase: 'ended', ran: false, told: 'not-run'}), event.attempt, 'not-run');
		}

		case 'finish': {
			return settle(change(state, event.attempt, {phase: 'ended', told: 'ran'}), event.attempt, 'finished');
		}

		case 'cut': {
			return settle(change(state, event.attempt, {phase: 'ended', told: 'unknown'}), event.attempt, 'unknown');
		}

		case 'crash': {
			return crash(state, event.host);
		}
	}
};

/** Applies an event of an attempt or of a host. Replies that no attempt waits for any more are forgotten. */
export const applyAttemptEvent = (state: State, event: AttemptEvent, fault: Fault): State => {
	const next = applyEvent(state, event);
	return {...next, replies: next.replies.filter(({attempt}) => isExpecting(next.attempts[attempt]!, fault))};
};
