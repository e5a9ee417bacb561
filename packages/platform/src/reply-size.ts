/**
Limits on the size of replies. What a reply takes in memory depends on its bytes and, as each parsed value takes some tens of bytes however short its text is, on the number of its values.
*/

/** Size of a reply, or a limit on it: bytes of the text after decompression, and values of the JSON document. */
export type ReplySize = {bytes: number; values: number};

/** Largest reply that is read. The whole state of a large fleet is a fraction of it. */
export const maxReplySize: ReplySize = {bytes: 8 * 1024 * 1024, values: 200_000};

/** Thrown for a reply that exceeds a limit on its size. */
export class OversizedReplyError extends Error {
	constructor() {
		super('reply-too-large');
	}
}

/** Whether a size exceeds a limit. */
export const isOversized = (size: ReplySize, limit: ReplySize): boolean => size.bytes > limit.bytes || size.values > limit.values;

/** Returns the size of two replies together. */
export const addReplySizes = (one: ReplySize, other: ReplySize): ReplySize =>
	({bytes: one.bytes + other.bytes, values: one.values + other.values});

/** Bytes of the JSON syntax. */
const syntax = {
	quote: 0x22, comma: 0x2C, openBracket: 0x5B, backslash: 0x5C, openBrace: 0x7B,
} as const;

/** Returns the index of the quote that ends a string; that of the end of the text without one. */
const findStringEnd = (text: Uint8Array, start: number): number => {
	let end = text.indexOf(syntax.quote, start);
	while (end !== -1) {
		let beforeEscapes = end - 1;
		while (text[beforeEscapes] === syntax.backslash) {
			beforeEscapes--;
		}

		const isEscaped = (end - beforeEscapes) % 2 === 0;
		if (!isEscaped) {
			return end;
		}

		end = text.indexOf(syntax.quote, end + 1);
	}

	return text.length;
};

/** Returns an upper bound of the number of values in a JSON document, without parsing it: each value but the first follows a comma or opens a list or an object. */
export const countValues = (text: Uint8Array): number => {
	let values = 1;
	for (let index = 0; index < text.length; index++) {
		const byte = text[index];
		if (byte === syntax.quote) {
			index = findStringEnd(text, index + 1);
		} else if (byte === syntax.comma || byte === syntax.openBracket || byte === syntax.openBrace) {
			values++;
		}
	}

	return values;
};
