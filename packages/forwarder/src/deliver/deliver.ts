import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {cutResponse} from '@gentianlift/errors';
import type {Progress} from '../call.js';
import {createChunkSizes} from '../memory/small-chunks.js';
import type {Incoming} from '../send/incoming.js';
import type {AnswerHead} from '../protocol.js';
import {createEventSequence, type SequenceBreak} from './event-sequence.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import {receiveBody} from './receive-body.js';

/** How the delivery of a stream ended: `complete` with its last event, `cut` before that. */
export type DeliveryOutcome = {kind: 'complete'} | {kind: 'cut'; reason: string};

/** Options of the delivery of a stream from an upstream to a caller. */
export type StreamDeliveryOptions = {
	head: AnswerHead;
	answer: Incoming;
	response: ServerResponse;
	progress: Progress;
	/** Whether another upstream can continue the stream; then the numbers of its events are checked. */
	isResumable: boolean;
	/** Whether the connection is closed after the answer; asked when the head is written, as the host may begin to stop while the answer arrives. */
	isClosing: () => boolean;
	/** Called once, when the first bytes arrive. */
	onFirstBytes: () => void;
	/** Called once, when the first bytes of this upstream are about to be written to the caller. */
	onFirstWrite: () => void;
};

/** Size limit of one event of a stream; beyond it the bytes are no answer. */
const maxEventBytes = 1024 * 1024;
/** Most small chunks of one event. */
const maxSmallChunks = 1024;

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

/** Delivers the events of a stream as each is complete, with backpressure from the caller. */
export const deliverStream = async (delivery: StreamDeliveryOptions): Promise<DeliveryOutcome> => {
	const {answer, response, progress, isResumable} = delivery;
	const {message} = answer;
	const head = removeLength(delivery.head);
	const splitter = createEventSplitter();
	const sequence = createEventSequence(progress);
	/** Whether what the caller has came from another upstream. */
	const isContinuation = progress.hasBegun;
	let hasStarted = false;
	let hasWritten = false;
	let sequenceBreak: SequenceBreak | undefined;
	const sizes = createChunkSizes(maxSmallChunks);
	let isTooLong = false;
	let isReleased = false;

	const write = (bytes: Uint8Array): void => {
		if (!hasWritten) {
			hasWritten = true;
			delivery.onFirstWrite();
		}

		if (!response.headersSent) {
			writeAnswerHead(response, head, delivery.isClosing());
		}

		if (!response.write(bytes)) {
			message.pause();
			response.once('drain', () => {
				message.resume();
			});
		}
	};

	/** Writes events at once, as each write takes memory of its own. */
	const writeBytes = (events: readonly StreamEvent[]): void => {
		if (events.length > 0) {
			write(Buffer.concat(events.map(({bytes}) => bytes)));
		}
	};

	const writeEvents = (events: readonly StreamEvent[]): void => {
		const next = sequence.take(events);
		for (const {bytes} of next.events) {
			write(bytes);
		}

		if (next.sequenceBreak !== undefined) {
			sequenceBreak ??= next.sequenceBreak;
			message.destroy();
		}
	};

	const closeIfTooLong = (chunk: Uint8Array): void => {
		// An event has ended in this chunk.
		if (splitter.getPartialBytes() <= chunk.length) {
			sizes.reset();
		}

		if (sizes.add(chunk) || splitter.getPartialBytes() > maxEventBytes) {
			isTooLong = true;
			message.destroy();
		}
	};

	/** Gives up what was read; a caller that hasn't read what it was sent loses the answer. */
	const release = (): void => {
		isReleased = true;
		message.destroy();
		if (response.writableNeedDrain) {
			cutResponse(response);
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
			writeBytes(events);
		}

		closeIfTooLong(chunk);
		progress.held.hold(splitter.getPartialBytes() + response.writableLength, release);
	};

	const {end, error} = await receiveBody(answer, {read, getContent: splitter.getContent});
	progress.bodyEnd = end;
	if (sequenceBreak !== undefined) {
		return {kind: 'cut', reason: sequenceBreak};
	}

	if (isReleased) {
		return {kind: 'cut', reason: 'released'};
	}

	if (isTooLong) {
		return {kind: 'cut', reason: 'event-too-long'};
	}

	if (end.verdict.kind === 'cut') {
		return {kind: 'cut', reason: error ?? end.verdict.reason};
	}

	// An answer without a new event looks the same whether the stream was at its end or the upstream has failed.
	return isContinuation && !sequence.hasNewEvents() ? {kind: 'cut', reason: 'no-new-event'} : {kind: 'complete'};
};
