import {Buffer} from 'node:buffer';

/** A complete event of a stream, in its original bytes. */
export type StreamEvent = {id: number | undefined; bytes: Uint8Array};

/** Splits the bytes of an event stream into events. */
export type EventSplitter = {
	/** Appends bytes and returns the events that they complete. */
	push: (chunk: Uint8Array) => StreamEvent[];
	/** Returns the number of bytes after the last complete event. */
	getPartialBytes: () => number;
};

/** Empty line that ends an event; lines that end with `\r\n` are not recognised. */
const eventEnd = '\n\n';
const idLine = /^id:\s?(?<id>\d+)\s*$/mv;

/** Creates a splitter for the body of one answer. */
export const createEventSplitter = (): EventSplitter => {
	let buffered = Buffer.alloc(0);
	return {
		push(chunk) {
			buffered = buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([buffered, chunk]);
			const events: StreamEvent[] = [];
			let start = 0;
			for (let end = buffered.indexOf(eventEnd); end !== -1; end = buffered.indexOf(eventEnd, start)) {
				const bytes = buffered.subarray(start, end + eventEnd.length);
				const id = idLine.exec(bytes.toString('latin1'))?.groups?.id;
				events.push({id: id === undefined ? undefined : Number(id), bytes});
				start = end + eventEnd.length;
			}

			buffered = buffered.subarray(start);
			return events;
		},
		getPartialBytes: () => buffered.length,
	};
};
