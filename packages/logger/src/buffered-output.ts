import {Buffer} from 'node:buffer';
import process from 'node:process';
import type {Writable} from 'node:stream';
import {formatLine} from './format-line.js';

/** Buffered sink for log lines: writes are batched, and neither a slow reader nor one that is gone ever blocks or ends the process. */
export type BufferedOutput = {
	/** Appends a line to the buffer; drops and counts it if the buffer is full. */
	write: (line: string) => void;
	/** Writes the buffered lines; resolves once they are written or the stream has failed, which may be never if nobody reads it. */
	flush: () => Promise<void>;
};

/** Options of a buffered output. */
export type BufferedOutputOptions = {
	/** Stream to write to; standard output by default. */
	stream?: Writable;
	/** Returns the milliseconds since the Unix epoch. */
	now: () => number;
};

/** Capacity of the buffer, so that a slow reader can't exhaust memory. Lines beyond it are dropped and counted. */
const maxBufferedCharacters = 512 * 1024;
/** Time for which lines are batched before they are written. */
const flushDelayMs = 100;

/**
 * Creates an output with an empty buffer. It writes by a stream, whose writes to a pipe don't block: a write by descriptor
 * blocks its thread while the pipe is full, and the process can't exit before that thread ends.
 */
export const createBufferedOutput = ({stream = process.stdout, now}: BufferedOutputOptions): BufferedOutput => {
	let buffered = '';
	let droppedLines = 0;
	let isScheduled = false;
	/** The write in progress, of which there is at most one. */
	let writing: Promise<void> | undefined;

	// An error means that the reader is gone: the lines are discarded, as there is nowhere left to report it.
	stream.on('error', () => undefined);

	const scheduleWrite = (): void => {
		if (isScheduled || writing !== undefined) {
			return;
		}

		isScheduled = true;
		setTimeout(writeBuffered, flushDelayMs).unref();
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

	/** Writes bytes; resolves once they are written or the stream has failed. */
	const writeBytes = async (bytes: Uint8Array): Promise<void> => new Promise(resolve => {
		stream.write(bytes, () => {
			resolve();
		});
	});

	const writeAll = async (): Promise<void> => {
		await writeBytes(takeBuffered());
		writing = undefined;
		if (buffered !== '') {
			scheduleWrite();
		}
	};

	const writeBuffered = (): void => {
		isScheduled = false;
		if (buffered !== '' && writing === undefined) {
			writing = writeAll();
		}
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
		async flush() {
			await writing;
			writeBuffered();
			await writing;
		},
	};
};
