import {decodeText} from './bytes.js';

/** Text of a generation, stored as the escaped bytes of its JSON strings and decoded only on request. */
export type TextBuffer = {
	append: (source: Uint8Array, start: number, end: number) => void;
	getText: () => string;
};

const initialCapacityBytes = 512;

/** Creates an empty text buffer. */
export const createTextBuffer = (): TextBuffer => {
	let bytes = new Uint8Array(0);
	let length = 0;

	const grow = (requiredBytes: number): void => {
		const larger = new Uint8Array(Math.max(initialCapacityBytes, requiredBytes, bytes.length * 2));
		larger.set(bytes.subarray(0, length));
		bytes = larger;
	};

	return {
		append(source, start, end) {
			const requiredBytes = length + end - start;
			if (requiredBytes > bytes.length) {
				grow(requiredBytes);
			}

			for (let index = start; index < end; index++) {
				bytes[length + index - start] = source[index] ?? 0;
			}

			length = requiredBytes;
		},
		getText: () => JSON.parse(`"${decodeText(bytes.subarray(0, length))}"`) as string,
	};
};
