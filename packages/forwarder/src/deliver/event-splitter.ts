import {Buffer} from 'node:buffer';
import {createByteCollector} from '../memory/byte-collector.js';
import type {BodyContent} from './body-end.js';

/** A complete event of a stream, in its original bytes. */
export type StreamEvent = {id: number | undefined; bytes: Uint8Array};

/** Splits the bytes of an event stream into events. */
export type EventSplitter = {
	/** Appends bytes and returns the events that they complete. */
	push: (chunk: Uint8Array) => StreamEvent[];
	/** Returns the number of bytes after the last complete event. */
	getPartialBytes: () => number;
	/** Returns what the stream so far tells of its end. */
	getContent: () => BodyContent;
};

/** End of an event: an empty line, so two line ends in a row. */
const eventEnd = /(?:\r\n|\n|\r(?!\n)){2}/gv;
/** Bytes of a longest end of an event that may have arrived without its last byte. */
const maxPartialEndBytes = 3;
const idLine = /^id:\s?(?<id>\d+)\s*$/mv;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Returns bytes as text of as many characters. */
const toText = (bytes: Uint8Array): string => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('latin1');

const splitEvents = (bytes: Uint8Array): {events: StreamEvent[]; rest: Uint8Array} => {
	const events: StreamEvent[] = [];
	const text = toText(bytes);
	let start = 0;
	for (const {0: separator, index} of text.matchAll(eventEnd)) {
		const end = index + separator.length;
		const id = idLine.exec(text.slice(start, end))?.groups?.id;
		events.push({id: id === undefined ? undefined : Number(id), bytes: bytes.subarray(start, end)});
		start = end;
	}

	return {events, rest: bytes.subarray(start)};
};

/** Creates a splitter for the body of one answer. */
export const createEventSplitter = (): EventSplitter => {
	/** Bytes after the last complete event, joined only when their event is complete. */
	const partial = createByteCollector();
	/** Last bytes of `partial`, which the next chunk may complete to the end of an event. */
	let tail = '';
	let eventCount = 0;
	/** Whether the last event ended with a carriage return, to which a line feed at the start of the next chunk belongs. */
	let isLineFeedPending = false;

	const addPartial = (chunk: Uint8Array, text: string): void => {
		partial.push(chunk);
		tail = text.slice(-maxPartialEndBytes);
	};

	const takeEvents = (chunk: Uint8Array): StreamEvent[] => {
		const text = tail + toText(chunk);
		if (text.search(eventEnd) === -1) {
			addPartial(chunk, text);
			return [];
		}

		partial.push(chunk);
		const {events, rest} = splitEvents(partial.take());
		addPartial(rest, toText(rest));
		isLineFeedPending = rest.length === 0 && chunk.at(-1) === carriageReturn;
		eventCount += events.length;
		return events;
	};

	return {
		push(chunk) {
			const isEndContinued = isLineFeedPending && chunk[0] === lineFeed;
			isLineFeedPending = false;
			return isEndContinued
				? [{id: undefined, bytes: chunk.subarray(0, 1)}, ...takeEvents(chunk.subarray(1))]
				: takeEvents(chunk);
		},
		getPartialBytes: partial.getLength,
		getContent: () => ({kind: 'events', events: eventCount, partialBytes: partial.getLength()}),
	};
};
