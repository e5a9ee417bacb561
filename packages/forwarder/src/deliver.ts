import type {ServerResponse} from 'node:http';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import {getAnswerEnd} from './answer-end.js';
import type {Progress} from './call.js';
import {isComplete, type Incoming} from './incoming.js';
import type {AnswerHead} from './protocol.js';

/** How the delivery of a stream ended: `complete` with its last event, `cut` before that, `broken` because the upstream left out an event, so that no upstream can continue it. */
export type DeliveryOutcome = {kind: 'complete'} | {kind: 'cut'; reason: string} | {kind: 'broken'; reason: string};

/** Options of the delivery of a stream from an upstream to a caller. */
export type StreamDeliveryOptions = {
	head: AnswerHead;
	answer: Incoming;
	response: ServerResponse;
	progress: Progress;
	/** Whether another upstream can continue the stream; then only complete events are delivered. */
	isResumable: boolean;
	/** Whether the connection is closed after the answer. */
	isClosing: boolean;
	/** Called once, when the first bytes arrive. */
	onFirstBytes: () => void;
};

/** Writes the head of an upstream's answer to the caller. */
export const writeAnswerHead = (response: ServerResponse, {status, forwarded}: AnswerHead, isClosing: boolean): void => {
	response.writeHead(status, [...forwarded, ...(isClosing ? ['Connection', 'close'] : [])]);
};

/** Returns the events that the caller has not received yet, or undefined if one before them is missing. Upstreams number the events of a stream consecutively. */
const getNewEvents = (events: readonly StreamEvent[], progress: Progress): StreamEvent[] | undefined => {
	const newEvents: StreamEvent[] = [];
	for (const event of events) {
		const last = progress.lastEventId;
		if (event.id === undefined || last === undefined || event.id === last + 1) {
			newEvents.push(event);
			progress.lastEventId = event.id ?? last;
		} else if (event.id > last) {
			return undefined;
		}
	}

	return newEvents;
};

/** Delivers a stream as it arrives, with backpressure from the caller. */
export const deliverStream = async (delivery: StreamDeliveryOptions): Promise<DeliveryOutcome> => new Promise(resolve => {
	const {
		head, answer, response, progress, isResumable,
	} = delivery;
	const {message} = answer;
	const splitter = createEventSplitter();
	let hasStarted = false;

	const write = (bytes: Uint8Array): void => {
		if (!response.headersSent) {
			writeAnswerHead(response, head, delivery.isClosing);
		}

		if (!response.write(bytes)) {
			message.pause();
			response.once('drain', () => {
				message.resume();
			});
		}
	};

	const writeEvents = (chunk: Uint8Array): void => {
		const events = getNewEvents(splitter.push(chunk), progress);
		if (events === undefined) {
			message.destroy();
			resolve({kind: 'broken', reason: 'event-missing'});
			return;
		}

		for (const {bytes} of events) {
			write(bytes);
		}
	};

	message.on('data', (chunk: Uint8Array) => {
		if (!hasStarted) {
			hasStarted = true;
			delivery.onFirstBytes();
		}

		if (isResumable) {
			writeEvents(chunk);
		} else {
			splitter.push(chunk);
			write(chunk);
		}
	});
	let isFinished = false;
	const finish = (outcome: DeliveryOutcome): void => {
		if (!isFinished) {
			isFinished = true;
			progress.answerEnd = getAnswerEnd(answer, splitter.getPartialBytes());
			resolve(outcome);
		}
	};

	message.once('end', () => {
		const hasEnded = isComplete(answer) && !(isResumable && splitter.getPartialBytes() > 0);
		finish(hasEnded ? {kind: 'complete'} : {kind: 'cut', reason: 'incomplete'});
	});
	message.once('error', (error: Error & {code?: string}) => {
		finish({kind: 'cut', reason: error.code ?? error.message});
	});
	message.once('close', () => {
		finish({kind: 'cut', reason: 'closed'});
	});
});
