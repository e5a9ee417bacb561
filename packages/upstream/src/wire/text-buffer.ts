import {decodeText} from './bytes.js';

/** Text of an answer, kept as the escaped bytes of its JSON strings. */
export type TextBuffer = {
	append: (source: Uint8Array, start: number, end: number) => void;
	getText: () => string;
};

const firstSize = 512;

/** Creates an empty text buffer. */
export const createTextBuffer = (): TextBuffer => {
	let bytes = new Uint8Array(0);
	let length = 0;

	const grow = (needed: number): void => {
		const larger = new Uint8Array(Math.max(firstSize, needed, bytes.length * 2));
		larger.set(bytes.subarray(0, length));
		bytes = larger;
	};

	return {
		append(source, start, end) {
			const needed = length + end - start;
			if (needed > bytes.length) {
				grow(needed);
			}

			for (let at = start; at < end; at++) {
				bytes[length + at - start] = source[at] ?? 0;
			}

			length = needed;
		},
		getText: () => JSON.parse(`"${decodeText(bytes.subarray(0, length))}"`) as string,
	};
};
