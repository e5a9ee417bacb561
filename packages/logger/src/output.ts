import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';
import {formatLine} from './format-line.js';

/** Where log lines go. Lines are gathered and written without waiting for the reader. */
export type Output = {
	write: (line: string) => void;
	/** Writes what is held, waiting for the reader; for the end of a process. */
	flush: () => void;
};

/** What an output works with. */
export type OutputOptions = {
	/** Number of the file to write to; standard output by default. */
	file?: number;
	/** Time of day in milliseconds since the epoch. */
	now: () => number;
};

/** Most characters held for a slow reader; further lines are dropped and counted. */
const mostHeld = 512 * 1024;
/** Delay in which lines are gathered, in milliseconds. */
const gatherDelay = 100;
const standardOutput = 1;
const fullPipe = 'EAGAIN';

/** Creates an output. */
export const createOutput = ({file = standardOutput, now}: OutputOptions): Output => {
	let held = '';
	let dropped = 0;
	let isWriting = false;
	let isScheduled = false;

	const schedule = (): void => {
		if (isScheduled || isWriting) {
			return;
		}

		isScheduled = true;
		setTimeout(writeHeld, gatherDelay).unref();
	};

	/** Keeps what the reader did not take. */
	const keep = (bytes: Uint8Array): void => {
		held = Buffer.from(bytes).toString('utf8') + held;
		if (held !== '') {
			schedule();
		}
	};

	const takeHeld = (): Uint8Array => {
		const note = dropped === 0
			? ''
			: formatLine({
				time: now(), level: 'warn', event: 'log-lines-dropped', count: dropped,
			});
		const text = held + note;
		held = '';
		dropped = 0;
		return Buffer.from(text);
	};

	const writeHeld = (): void => {
		isScheduled = false;
		const bytes = takeHeld();
		if (bytes.length === 0) {
			return;
		}

		isWriting = true;
		write(file, bytes, (error, written) => {
			isWriting = false;
			if (error === null) {
				keep(bytes.subarray(written));
			} else if (error.code === fullPipe) {
				keep(bytes);
			}
			// Otherwise the reader has gone, and there is nowhere to report it.
		});
	};

	return {
		write(line) {
			if (held.length + line.length > mostHeld) {
				dropped += 1;
				return;
			}

			held += line;
			schedule();
		},
		flush() {
			const bytes = takeHeld();
			if (bytes.length > 0) {
				writeSync(file, bytes);
			}
		},
	};
};
