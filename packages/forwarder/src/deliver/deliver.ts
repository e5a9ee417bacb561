import type {ServerResponse} from 'node:http';
import type {Progress} from '../call.js';
import type {Incoming} from '../send/incoming.js';
import type {AnswerHead} from '../protocol.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import {receiveBody} from './receive-body.js';

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
	/** Called once, when the first bytes of this upstream are about to be written to the caller. */
	onFirstWrite: () => void;
};

/** Size limit of one event of a stream; beyond it the bytes are no answer. */
const maxEventBytes = 1024 * 1024;

/** Writes the head of an upstream's answer to the caller. */
export const writeAnswerHead = (response: ServerResponse, {status, forwarded}: AnswerHead, isClosing: boolean): void => {
	response.writeHead(status, [...forwarded, ...(isClosing ? ['Connection', 'close'] : [])]);
};

/** Returns the head of a stream without its length: a stream may be cut after that many bytes, which its caller sees only if the length isn't announced. */
const removeLength = (head: AnswerHead): AnswerHead => {
	const {forwarded} = head;
	const isLength = (index: number): boolean => forwarded[index - (index % 2)]?.toLowerCase() === 'content-length';
	return {...head, forwarded: forwarded.filter((_, index) => !isLength(index))};
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
export const deliverStream = async (delivery: StreamDeliveryOptions): Promise<DeliveryOutcome> => {
	const {answer, response, progress, isResumable} = delivery;
	const {message} = answer;
	const head = removeLength(delivery.head);
	const splitter = createEventSplitter();
	let hasStarted = false;
	let hasWritten = false;
	let isEventMissing = false;
	let isTooLong = false;

	const write = (bytes: Uint8Array): void => {
		if (!hasWritten) {
			hasWritten = true;
			delivery.onFirstWrite();
		}

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

	const writeEvents = (events: readonly StreamEvent[]): void => {
		const newEvents = getNewEvents(events, progress);
		if (newEvents === undefined) {
			isEventMissing = true;
			message.destroy();
			return;
		}

		for (const {bytes} of newEvents) {
			write(bytes);
		}
	};

	const closeIfTooLong = (): void => {
		if (splitter.getPartialBytes() > maxEventBytes) {
			isTooLong = true;
			message.destroy();
		}
	};

	const read = (chunk: Uint8Array): void => {
		if (!hasStarted) {
			hasStarted = true;
			delivery.onFirstBytes();
		}

		const events = splitter.push(chunk);
		if (isResumable) {
			writeEvents(events);
		} else {
			write(chunk);
		}

		closeIfTooLong();
	};

	const {end, error} = await receiveBody(answer, {read, getContent: splitter.getContent});
	progress.bodyEnd = end;
	if (isEventMissing) {
		return {kind: 'broken', reason: 'event-missing'};
	}

	if (isTooLong) {
		return {kind: 'cut', reason: 'event-too-long'};
	}

	return end.verdict.kind === 'whole' ? {kind: 'complete'} : {kind: 'cut', reason: error ?? end.verdict.reason};
};
