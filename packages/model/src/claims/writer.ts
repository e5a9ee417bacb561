import {applyOperation} from './slot.js';
import {
	addToSet, isSameOperation, updateAt, type ClaimRecord, type Fault, type Message, type SlotWrite, type Reply, type State, type Writer,
} from './state.js';

/**
Events of the hosts' slot writers and of the key-value service. In a `step` a writer reads, and writes or answers; `drop` is a
batch that times out, `land` a write that reaches the service, and `reply` the service's reply to it.
*/
export type WriterEvent
	= | {type: 'deliver'; message: Message}
		| {type: 'step'; host: number}
		| {type: 'drop'; host: number}
		| {type: 'land'; write: number}
		| {type: 'reply'; host: number}
		| {type: 'lose-reply'; host: number};

type BatchResult = {claim?: ClaimRecord | undefined; replies: Reply[]};

const isSameClaim = (left: ClaimRecord | undefined, right: ClaimRecord | undefined): boolean =>
	left?.attempt === right?.attempt && left?.outcome === right?.outcome && left?.givenUp.length === right?.givenUp.length;

/** Applies the batch of a writer to the slot as the key-value service stores it. */
const applyBatch = (state: State, host: number, fault: Fault): BatchResult => {
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

const getHostEvents = (state: State, host: number, fault: Fault, writeLimit: number): WriterEvent[] => {
	const writer = state.writers[host]!;
	if (writer.batch.length === 0) {
		return [];
	}

	if (writer.writeId !== undefined) {
		const write = state.writes.find(({id}) => id === writer.writeId);
		const isCompleted = write !== undefined && write.result !== 'pending';
		return isCompleted ? [{type: 'reply', host}, {type: 'lose-reply', host}] : [{type: 'lose-reply', host}];
	}

	const canStep = state.writesSent < writeLimit || !needsWrite(state, host, fault);
	return canStep ? [{type: 'step', host}, {type: 'drop', host}] : [{type: 'drop', host}];
};

const isQueued = (writer: Writer, message: Message): boolean =>
	[...writer.batch, ...writer.queue].some(operation => isSameOperation(operation, message.operation));

/** Returns the events of the writers and the key-value service that may happen in a state. */
export const getWriterEvents = (state: State, fault: Fault, writeLimit: number): WriterEvent[] => [
	...state.messages.filter(message => !isQueued(state.writers[message.to]!, message)).map(message => ({type: 'deliver' as const, message})),
	...state.writers.flatMap((_, host) => getHostEvents(state, host, fault, writeLimit)),
	...state.writes.filter(({result}) => result === 'pending').map(({id}) => ({type: 'land' as const, write: id})),
];

const applyDelivery = (state: State, message: Message): State => {
	const {to, operation, remainingDeliveries} = message;
	const writer = state.writers[to]!;
	const change = writer.batch.length === 0 ? {batch: [operation]} : {queue: [...writer.queue, operation]};
	const messages = state.messages
		.map(other => other.to === to && isSameOperation(other.operation, operation) ? {...other, remainingDeliveries: remainingDeliveries - 1} : other)
		.filter(other => other.remainingDeliveries > 0);
	return {...state, messages, writers: updateAt(state.writers, to, change)};
};

const startWrite = (state: State, host: number, fault: Fault): State => {
	const {claim} = applyBatch(state, host, fault);
	const pending: SlotWrite = {
		id: state.writesSent, expected: state.slot.revision, claim: claim!, result: 'pending', isAwaited: true,
	};
	return {
		...state,
		writesSent: state.writesSent + 1,
		writes: [...state.writes, pending],
		writers: updateAt(state.writers, host, {writeId: pending.id}),
	};
};

const finishBatch = (state: State, host: number): State =>
	({...state, writers: updateAt(state.writers, host, {batch: state.writers[host]!.queue, queue: []})});

const answerBatch = (state: State, host: number, replies: Reply[]): State => {
	let sent = state.replies;
	for (const reply of replies) {
		sent = addToSet(sent, reply);
	}

	return {...finishBatch(state, host), replies: sent};
};

/** Reads the slot, and then writes or answers. A pause between read and write is the same as a write that reaches the service late. */
const applyStep = (state: State, host: number, fault: Fault): State => needsWrite(state, host, fault)
	? startWrite(state, host, fault)
	: answerBatch(state, host, applyBatch(state, host, fault).replies);

const isOutcomeChanged = (before: ClaimRecord | undefined, after: ClaimRecord): boolean => {
	if (before === undefined || before.outcome === 'claimed') {
		return false;
	}

	const isOther = before.attempt !== after.attempt || before.outcome !== after.outcome;
	return before.outcome === 'not-run' ? before.attempt === after.attempt && after.outcome !== 'not-run' : isOther;
};

const applyLanding = (state: State, id: number, fault: Fault): State => {
	const pending = state.writes.find(candidate => candidate.id === id)!;
	const isApplied = pending.expected === state.slot.revision || fault === 'write-without-compare';
	const writes = state.writes.map(candidate => candidate.id === id ? {...candidate, result: isApplied ? 'applied' as const : 'rejected' as const} : candidate);
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
	writes: state.writes.map(candidate => candidate.id === state.writers[host]!.writeId ? {...candidate, isAwaited: false} : candidate),
	writers: updateAt(state.writers, host, {writeId: undefined}),
});

/**
Answers from the state that was written. The next step reads again after a rejection, and also if the batch would change the
written state once more, as when an operation late in the batch has released the key for an earlier one.
*/
const applyReply = (state: State, host: number, fault: Fault): State => {
	const pending = state.writes.find(({id}) => id === state.writers[host]!.writeId)!;
	const after = stopAwaiting(state, host);
	const written = {...state, slot: {revision: pending.expected + 1, claim: pending.claim}};
	const mustStep = pending.result === 'rejected' || (needsWrite(written, host, fault) && fault !== 'answer-without-write');
	return mustStep ? after : answerBatch(after, host, applyBatch(written, host, fault).replies);
};

const applyLostReply = (state: State, host: number, fault: Fault): State => {
	const lost = stopAwaiting(state, host);
	if (fault !== 'start-on-unknown') {
		return lost;
	}

	let {replies} = lost;
	for (const {attempt} of state.writers[host]!.batch.filter(({kind}) => kind === 'claim')) {
		replies = addToSet(replies, {attempt, decision: 'start'});
	}

	return {...lost, replies};
};

/** Rejects pending writes with an outdated revision and drops writes without further effect, so that equivalent states are equal. */
const removeObsoleteWrites = (state: State, fault: Fault): State => {
	const writes = state.writes
		.map(candidate => candidate.result === 'pending' && candidate.expected !== state.slot.revision && fault !== 'write-without-compare'
			? {...candidate, result: 'rejected' as const}
			: candidate)
		.filter(({result, isAwaited}) => result === 'pending' || isAwaited);
	return {...state, writes};
};

const applyEvent = (state: State, event: WriterEvent, fault: Fault): State => {
	switch (event.type) {
		case 'deliver': {
			return applyDelivery(state, event.message);
		}

		case 'step': {
			return applyStep(state, event.host, fault);
		}

		case 'drop': {
			return finishBatch(state, event.host);
		}

		case 'land': {
			return applyLanding(state, event.write, fault);
		}

		case 'reply': {
			return applyReply(state, event.host, fault);
		}

		case 'lose-reply': {
			return applyLostReply(state, event.host, fault);
		}
	}
};

/** Applies an event of a writer or of the key-value service. */
export const applyWriterEvent = (state: State, event: WriterEvent, fault: Fault): State =>
	removeObsoleteWrites(applyEvent(state, event, fault), fault);
