import {write, writeSync} from 'node:fs';

/** Where log lines go. Lines are gathered and written without waiting for the reader. */
export type Output = {
	write: (line: string) => void;
	/** Writes what is held, waiting for the reader; for the end of a process. */
	flush: () => void;
};

/** Most characters held for a slow reader; further lines are dropped and counted. */
const mostHeld = 512 * 1024;
const gatherDelay = 100;
const standardOutput = 1;

/** Creates an output on standard output. */
export const createOutput = (file: number = standardOutput): Output => {
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

	const finish = (error: NodeJS.ErrnoException | null, text: string, written: number): void => {
		isWriting = false;
		if (error !== null && error.code !== 'EAGAIN') {
			// There is nowhere to report that standard output is gone.
			return;
		}

		const bytes = Buffer.from(text);
		held = bytes.subarray(error === null ? written : 0).toString('utf8') + held;
		if (held !== '') {
			schedule();
		}
	};

	const takeHeld = (): string => {
		const note = dropped > 0 ? `time=${new Date().toISOString()} level=warn event=log-lines-dropped count=${dropped}\n` : '';
		const text = held + note;
		held = '';
		dropped = 0;
		return text;
	};

	const writeHeld = (): void => {
		isScheduled = false;
		const text = takeHeld();
		if (text === '') {
			return;
		}

		isWriting = true;
		write(file, text, (error, written) => {
			finish(error, text, written);
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
			const text = takeHeld();
			if (text !== '') {
				writeSync(file, text);
			}
		},
	};
};
