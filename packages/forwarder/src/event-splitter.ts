import {Buffer} from 'node:buffer';
import type {BodyContent} from './body-end.js';

/** A complete event of a stream, in its original bytes. */
export type StreamEvent = {id: number | undefined; bytes: Uint8Array};

/** Splits the bytes of an event stream into events. */
export type EventSplitter = {
	/** Appends bytes and returns the events that they complete. */
	push: (chunk: Uint8Array) => StreamEvent[];
	/** Returns the number of events so far, and of the bytes after the last one. */
	getContent: () => BodyContent;
};

/** End of an event: an empty line, so two line ends in a row. */
const eventEnd = /(?:\r\n|\n|\r(?!\n)){2}/gv;
const idLine = /^id:\s?(?<id>\d+)\s*$/mv;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Creates a splitter for the body of one answer. */
export const createEventSplitter = (): EventSplitter => {
	let buffered = Buffer.alloc(0);
	let eventCount = 0;
	/** Whether the last event ended with a carriage return, to which a line feed at the start of the next bytes belongs. */
	let isLineFeedPending = false;

	/** Takes a line feed that belongs to the end of the last event; it is returned as an event without id. */
	const takePendingLineFeed = (): StreamEvent[] => {
		if (!isLineFeedPending || buffered.length === 0) {
			return [];
		}

		isLineFeedPending = false;
		if (buffered[0] !== lineFeed) {
			return [];
		}

		const bytes = buffered.subarray(0, 1);
		buffered = buffered.subarray(1);
		return [{id: undefined, bytes}];
	};

	const takeEvents = (): StreamEvent[] => {
		const events: StreamEvent[] = [];
		const text = buffered.toString('latin1');
		let start = 0;
		for (const {0: separator, index} of text.matchAll(eventEnd)) {
			const end = index + separator.length;
			const id = idLine.exec(text.slice(start, end))?.groups?.id;
			events.push({id: id === undefined ? undefined : Number(id), bytes: buffered.subarray(start, end)});
			start = end;
		}

		isLineFeedPending ||= start > 0 && start === buffered.length && buffered[start - 1] === carriageReturn;
		buffered = buffered.subarray(start);
		eventCount += events.length;
		return events;
	};

	return {
		push(chunk) {
			buffered = buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([buffered, chunk]);
			return [...takePendingLineFeed(), ...takeEvents()];
		},
		getContent: () => ({kind: 'events', events: eventCount, partialBytes: buffered.length}),
	};
};
