import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';
import {formatLine} from './format-line.js';

/** Buffered sink for log lines: writes are batched and asynchronous, so that a slow reader never blocks the event loop. */
export type BufferedOutput = {
	/** Appends a line to the buffer; drops and counts it if the buffer is full. */
	write: (line: string) => void;
	/** Writes the buffered lines synchronously; meant for the exit of a process. */
	flush: () => void;
};

/** Options of a buffered output. */
export type BufferedOutputOptions = {
	/** Descriptor of the file to write to; standard output by default. */
	fileDescriptor?: number;
	/** Returns the milliseconds since the Unix epoch. */
	now: () => number;
};

/** Capacity of the buffer, so that a slow reader can't exhaust memory. Lines beyond it are dropped and counted. */
const maxBufferedCharacters = 512 * 1024;
/** Time for which lines are batched before they are written. */
const flushDelayMs = 100;
const standardOutputDescriptor = 1;
/** Error code of a write to a non-blocking pipe that is full. */
const pipeFullCode = 'EAGAIN';

/** Creates an output with an empty buffer. */
export const createBufferedOutput = ({fileDescriptor = standardOutputDescriptor, now}: BufferedOutputOptions): BufferedOutput => {
	let buffered = '';
	let droppedLines = 0;
	let isWriting = false;
	let isScheduled = false;

	const scheduleWrite = (): void => {
		if (isScheduled || isWriting) {
			return;
		}

		isScheduled = true;
		setTimeout(writeBuffered, flushDelayMs).unref();
	};

	/** Puts unwritten bytes back at the head of the buffer. */
	const requeue = (bytes: Uint8Array): void => {
		buffered = Buffer.from(bytes).toString('utf8') + buffered;
		if (buffered !== '') {
			scheduleWrite();
		}
	};

	/** Empties the buffer; returns its lines, followed by a line with the number of dropped ones if there are any. */
	const takeBuffered = (): Uint8Array => {
		const dropNotice = droppedLines === 0
			? ''
			: formatLine({
				time: now(), level: 'warn', event: 'log-lines-dropped', count: droppedLines,
			});
		const text = buffered + dropNotice;
		buffered = '';
		droppedLines = 0;
		return Buffer.from(text);
	};

	const writeBuffered = (): void => {
		isScheduled = false;
		const bytes = takeBuffered();
		if (bytes.length === 0) {
			return;
		}

		isWriting = true;
		write(fileDescriptor, bytes, (error, written) => {
			isWriting = false;
			if (error === null) {
				requeue(bytes.subarray(written));
			} else if (error.code === pipeFullCode) {
				requeue(bytes);
			}
			// Any other error means that the reader is gone: the bytes are discarded, as there is nowhere left to report it.
		});
	};

	return {
		write(line) {
			if (buffered.length + line.length > maxBufferedCharacters) {
				droppedLines += 1;
				return;
			}

			buffered += line;
			scheduleWrite();
		},
		flush() {
			const bytes = takeBuffered();
			if (bytes.length > 0) {
				writeSync(fileDescriptor, bytes);
			}
		},
	};
};
