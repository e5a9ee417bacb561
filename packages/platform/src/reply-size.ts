/**
Limits on the size of replies. What a reply takes in memory depends on its bytes and, as each parsed value takes some tens of bytes however short its text is, on the number of its values.
*/

/** Size of a reply, or a limit on it: bytes of the text after decompression, and values of the JSON document. */
export type ReplySize = {bytes: number; values: number};

/** Largest reply that is read, and the most that all pages of a state hold. The whole state of a large fleet is a fraction of it. */
export const maxReplySize: ReplySize = {bytes: 8 * 1024 * 1024, values: 200_000};

/** Thrown for a reply that exceeds a limit on its size. */
export class OversizedReplyError extends Error {
	constructor() {
		super('reply-too-large');
	}
}

/** Whether a size exceeds a limit. */
export const isOversized = (size: ReplySize, limit: ReplySize): boolean => size.bytes > limit.bytes || size.values > limit.values;
