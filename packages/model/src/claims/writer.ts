import {applyOperation} from './slot.js';
import {
	addTo, isSameOperation, setAt, type ClaimRecord, type Fault, type Message, type PendingWrite, type Reply, type State, type Writer,
} from './state.js';

/** Events of a host's slot writer and of the service. */
export type WriterEvent
	= | {type: 'deliver'; message: Message}
		| {type: 'step'; host: number}
		| {type: 'drop'; host: number}
		| {type: 'land'; write: number}
		| {type: 'reply'; host: number}
		| {type: 'lose-reply'; host: number};

type Applied = {claim?: ClaimRecord | undefined; replies: Reply[]};

const isSameClaim = (left: ClaimRecord | undefined, right: ClaimRecord | undefined): boolean =>
	left?.attempt === right?.attempt && left?.outcome === right?.outcome && left?.givenUp.length === right?.givenUp.length;

/** Applies a writer's batch to the slot as it is in the service. */
const applyBatch = (state: State, host: number, fault: Fault): Applied => {
	let {claim} = state.slot;
	const replies: Reply[] = [];
	for (const operation of state.writers[host]!.batch) {
		const step = applyOperation(state, claim, operation, fault);
		claim = step.claim;
		if (step.decision !== undefined) {
			replies.push({attempt: operation.attempt, decision: step.decision});
		}
	}

	return {claim, replies};
};

const needsWrite = (state: State, host: number, fault: Fault): boolean =>
	!isSameClaim(applyBatch(state, host, fault).claim, state.slot.claim);

const getWriterEvents = (state: State, host: number, fault: Fault, writeLimit: number): WriterEvent[] => {
	const writer = state.writers[host]!;
	if (writer.batch.length === 0) {
		return [];
	}

	if (writer.writing !== undefined) {
		const write = state.writes.find(({id}) => id === writer.writing);
		const isLanded = write !== undefined && write.landed !== 'pending';
		return isLanded ? [{type: 'reply', host}, {type: 'lose-reply', host}] : [{type: 'lose-reply', host}];
	}

	const canStep = state.writesSent < writeLimit || !needsWrite(state, host, fault);
	return canStep ? [{type: 'step', host}, {type: 'drop', host}] : [{type: 'drop', host}];
};

const isWaiting = (writer: Writer, message: Message): boolean =>
	[...writer.batch, ...writer.queue].some(operation => isSameOperation(operation, message.operation));

/** Gets what writers and the service may do. */
export const getEvents = (state: State, fault: Fault, writeLimit: number): WriterEvent[] => [
	...state.messages.filter(message => !isWaiting(state.writers[message.to]!, message)).map(message => ({type: 'deliver' as const, message})),
	...state.writers.flatMap((_, host) => getWriterEvents(state, host, fault, writeLimit)),
	...state.writes.filter(({landed}) => landed === 'pending').map(({id}) => ({type: 'land' as const, write: id})),
];

const deliver = (state: State, message: Message): State => {
	const {to, operation, deliveries} = message;
	const writer = state.writers[to]!;
	const change = writer.batch.length === 0 ? {batch: [operation]} : {queue: [...writer.queue, operation]};
	const messages = state.messages
		.map(other => other.to === to && isSameOperation(other.operation, operation) ? {...other, deliveries: deliveries - 1} : other)
		.filter(other => other.deliveries > 0);
	return {...state, messages, writers: setAt(state.writers, to, change)};
};

const write = (state: State, host: number, fault: Fault): State => {
	const {claim} = applyBatch(state, host, fault);
	const pending: PendingWrite = {
		id: state.writesSent, expected: state.slot.revision, claim: claim!, landed: 'pending', isAwaited: true,
	};
	return {
		...state,
		writesSent: state.writesSent + 1,
		writes: [...state.writes, pending],
		writers: setAt(state.writers, host, {writing: pending.id}),
	};
};

const endBatch = (state: State, host: number): State =>
	({...state, writers: setAt(state.writers, host, {batch: state.writers[host]!.queue, queue: []})});

const answer = (state: State, host: number, replies: Reply[]): State => {
	let sent = state.replies;
	for (const reply of replies) {
		sent = addTo(sent, reply);
	}

	return {...endBatch(state, host), replies: sent};
};

/** Reads, and then writes or answers. A pause in between is a write that lands late. */
const step = (state: State, host: number, fault: Fault): State => needsWrite(state, host, fault)
	? write(state, host, fault)
	: answer(state, host, applyBatch(state, host, fault).replies);

const isOutcomeChanged = (before: ClaimRecord | undefined, after: ClaimRecord): boolean => {
	if (before === undefined || before.outcome === 'claimed') {
		return false;
	}

	const isOther = before.attempt !== after.attempt || before.outcome !== after.outcome;
	return before.outcome === 'not-run' ? before.attempt === after.attempt && after.outcome !== 'not-run' : isOther;
};

const land = (state: State, id: number, fault: Fault): State => {
	const pending = state.writes.find(candidate => candidate.id === id)!;
	const isApplied = pending.expected === state.slot.revision || fault === 'write-without-compare';
	const writes = state.writes.map(candidate => candidate.id === id ? {...candidate, landed: isApplied ? 'applied' as const : 'rejected' as const} : candidate);
	if (!isApplied) {
		return {...state, writes};
	}

	return {
		...state,
		writes,
		slot: {revision: state.slot.revision + 1, claim: pending.claim},
		hasChangedOutcome: state.hasChangedOutcome || isOutcomeChanged(state.slot.claim, pending.claim),
	};
};

const stopAwaiting = (state: State, host: number): State => ({
	...state,
	writes: state.writes.map(candidate => candidate.id === state.writers[host]!.writing ? {...candidate, isAwaited: false} : candidate),
	writers: setAt(state.writers, host, {writing: undefined}),
});

/**
Answers from the state that was written. After a rejection the next step reads, and so it does if the batch changes the
written state once more, as when an operation late in the batch has freed the key for an earlier one.
*/
const takeReply = (state: State, host: number, fault: Fault): State => {
	const pending = state.writes.find(({id}) => id === state.writers[host]!.writing)!;
	const after = stopAwaiting(state, host);
	const written = {...state, slot: {revision: pending.expected + 1, claim: pending.claim}};
	const mustStep = pending.landed === 'rejected' || (needsWrite(written, host, fault) && fault !== 'answer-without-write');
	return mustStep ? after : answer(after, host, applyBatch(written, host, fault).replies);
};

const loseReply = (state: State, host: number, fault: Fault): State => {
	const lost = stopAwaiting(state, host);
	if (fault !== 'start-on-unknown') {
		return lost;
	}

	let {replies} = lost;
	for (const {attempt} of state.writers[host]!.batch.filter(({kind}) => kind === 'claim')) {
		replies = addTo(replies, {attempt, decision: 'start'});
	}

	return {...lost, replies};
};

/** Forgets writes that can't matter any more, so that equal situations are equal states. */
const forgetWrites = (state: State, fault: Fault): State => {
	const writes = state.writes
		.map(candidate => candidate.landed === 'pending' && candidate.expected !== state.slot.revision && fault !== 'write-without-compare'
			? {...candidate, landed: 'rejected' as const}
			: candidate)
		.filter(({landed, isAwaited}) => landed === 'pending' || isAwaited);
	return {...state, writes};
};

const applyEvent = (state: State, event: WriterEvent, fault: Fault): State => {
	switch (event.type) {
		case 'deliver': {
			return deliver(state, event.message);
		}

		case 'step': {
			return step(state, event.host, fault);
		}

		case 'drop': {
			return endBatch(state, event.host);
		}

		case 'land': {
			return land(state, event.write, fault);
		}

		case 'reply': {
			return takeReply(state, event.host, fault);
		}

		case 'lose-reply': {
			return loseReply(state, event.host, fault);
		}
	}
};

/** Applies an event of a writer or of the service. */
export const applyWriterEvent = (state: State, event: WriterEvent, fault: Fault): State =>
	forgetWrites(applyEvent(state, event, fault), fault);
